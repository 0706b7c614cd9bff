package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"filberttrack.example/track/platform/mimic"
)

// record is the file with what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

// printf appends a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.out.Flush(), r.file.Close())
}

// world holds the stand-ins and the processes of one play.
type world struct {
	binary string
	dir    string
	record *record
	log    *mimic.Log
	// logAddr and logServer are the address of the platform's log and the server there.
	logAddr   string
	logServer *http.Server
	network   int
	// entries holds the addresses of the entries.
	entries []string
	guard   net.Listener

	mu        sync.Mutex
	servers   []*http.Server
	processes []*process
}

// Loopback networks 127.0.N.x among which plays choose one that no other play uses.
const (
	firstNetwork = 221
	networks     = 30
	guardHost    = 254
	guardPort    = 7998
)

// The ports of an entry, which are the same for all entries, as each has its own IP address.
const (
	frontPort     = 8227
	readinessPort = 8220
	controlPort   = 8229
	firstPeerPort = 7340
)

func newWorld(binary, recordPath string) (*world, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("find trackd: %w", err)
	}
	dir, err := os.MkdirTemp("", "scene")
	if err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("create record: %w", err), os.RemoveAll(dir))
	}
	w := &world{
		binary: binary, dir: dir, log: mimic.NewLog(),
		record: &record{start: time.Now(), file: file, out: bufio.NewWriter(file)},
	}
	for i := range networks {
		guard, guardErr := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", firstNetwork+i, guardHost, guardPort))
		if guardErr == nil {
			w.network, w.guard = firstNetwork+i, guard
			break
		}
		err = guardErr
	}
	if w.guard == nil {
		return nil, errors.Join(fmt.Errorf("reserve a loopback network: %w", err), w.close())
	}
	if w.logAddr, w.logServer, err = w.serve(w.address(storeHost)+":0", w.log); err != nil {
		return nil, errors.Join(err, w.close())
	}
	return w, nil
}

// address returns the IP address of a host of the play's network.
func (w *world) address(host int) string { return fmt.Sprintf("127.0.%d.%d", w.network, host) }

// serve serves a handler until close, and returns the address and the server.
func (w *world) serve(address string, handler http.Handler) (string, *http.Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", nil, fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	w.mu.Lock()
	w.servers = append(w.servers, server)
	w.mu.Unlock()
	go func() {
		// Serve returns an error when the server is closed, which is expected.
		_ = server.Serve(listener)
	}()
	return listener.Addr().String(), server, nil
}

// close ends all processes and stand-ins of the play, and removes its directory.
func (w *world) close() error {
	w.mu.Lock()
	processes, servers := w.processes, w.servers
	w.mu.Unlock()
	for _, p := range processes {
		p.end()
	}
	for _, s := range servers {
		_ = s.Close()
	}
	if w.guard != nil {
		_ = w.guard.Close()
	}
	return errors.Join(w.record.close(), os.RemoveAll(w.dir))
}

// process is a daemon that is started again whenever it ends, as the platform does.
type process struct {
	world    *world
	name     string
	role     string
	settings string

	mu sync.Mutex
	// command is the running daemon; nil while there is none.
	command *exec.Cmd
	ended   bool
	done    chan struct{}
}

// restartPause is the time between the end of a daemon and its next start.
const restartPause = 300 * time.Millisecond

// startProcess starts a daemon with the settings.
func (w *world) startProcess(name, role, settings string) (*process, error) {
	p := &process{world: w, name: name, role: role, settings: filepath.Join(w.dir, name+".toml"), done: make(chan struct{})}
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	if err := p.start(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	go p.keepRunning()
	return p, nil
}

// replaceInSettings replaces a text in the settings file.
func (p *process) replaceInSettings(old, text string) error {
	data, err := os.ReadFile(p.settings)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if err := os.WriteFile(p.settings, []byte(strings.ReplaceAll(string(data), old, text)), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// start starts the daemon, unless the process was ended.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(p.world.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer out.Close()
	command := exec.Command(p.world.binary, p.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), mimic.SettingsVariable + "=" + p.settings}
	command.Stdout, command.Stderr = out, out
	// The kernel kills the daemon if the play dies.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.command = command
	p.world.record.printf("%s starts", p.name)
	return nil
}

// keepRunning waits for the daemon's end and starts it again.
func (p *process) keepRunning() {
	defer close(p.done)
	for {
		p.mu.Lock()
		command := p.command
		p.mu.Unlock()
		// The cause of the end is recorded by those who ask for it.
		_ = command.Wait()
		p.mu.Lock()
		p.command = nil
		ended := p.ended
		p.mu.Unlock()
		p.world.record.printf("%s ended: %s", p.name, command.ProcessState)
		if ended {
			return
		}
		time.Sleep(restartPause)
		if err := p.start(); err != nil {
			p.world.record.printf("%s: %v", p.name, err)
			return
		}
		if p.pid() == 0 {
			return
		}
	}
}

// pid returns the ID of the running daemon; 0 if there is none.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// signal sends a signal to the running daemon.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		// An error means that the daemon has just ended.
		_ = p.command.Process.Signal(signal)
	}
}

// end kills the daemon and waits for its end.
func (p *process) end() {
	p.mu.Lock()
	p.ended = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-p.done
}
