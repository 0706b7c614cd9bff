package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"filberttrack.example/track/platform/mimic"
	"filberttrack.example/track/stand/tier"
)

// Setup describes a run.
type Setup struct {
	Binary, Work               string
	Seed                       uint64
	Entries, Replicas, Clients int
	Length                     time.Duration
	Bounds                     Bounds
}

const (
	// startTime is the time that entries get to start and to find each other.
	startTime = 3 * time.Second
	// calmTime is the time of load after the recovery.
	calmTime = 4 * time.Second
	// clientPause is the time between two requests of a client.
	clientPause = 150 * time.Millisecond
	// clientLeft is the time that a client gives a request.
	clientLeft = 3 * time.Second
	// workTime is the time that a replica works on a call or an event.
	workTime = 12 * time.Millisecond
	// streamEvents is the number of events of a stream.
	streamEvents = 14
	// restartPause is the time between the end of an entry and its next start.
	restartPause = 300 * time.Millisecond
)

// The names in the stand-in's configuration.
const (
	topicConfig   = "op"
	topicReplicas = "servers"
	keyConfig     = "config"
	serviceDesk   = "desk"
	serviceModel  = "model"
	firstKey      = "key-0"
)

// stage is the scene of one run.
type stage struct {
	setup   Setup
	log     *mimic.Log
	ledger  *mimic.Ledger
	entries []*process
	agents  []*process
	sites   []*site
	group   *tier.Group

	shape tier.Shape

	mu       sync.Mutex
	version  uint64
	keys     map[string]string
	routes   []mimic.Route
	history  History
	outcomes []Outcome
}

// site is a place of a replica: an address behind a link that can be disturbed.
type site struct {
	service string
	// rank is the place's number in its service.
	rank int
	link *Link

	mu      sync.Mutex
	replica *mimic.Replica
	starts  int
	// out is set while the replica leaves or is dead.
	out bool
}

func build(ctx context.Context, binary string) error {
	command := exec.CommandContext(ctx, "go", "build", "-o", binary, "./cmd/trackd")
	command.Stderr = os.Stderr
	if err := command.Run(); err != nil {
		return fmt.Errorf("build the entries: %w", err)
	}
	return nil
}

// Play runs the plan against real entries, and returns what was seen.
func Play(ctx context.Context, setup Setup, plan []Event) (*History, error) {
	if err := os.MkdirAll(setup.Work, 0o755); err != nil {
		return nil, fmt.Errorf("make a directory: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &stage{setup: setup, log: mimic.NewLog(), ledger: &mimic.Ledger{}, keys: make(map[string]string)}
	s.shape = tier.Shape{Ranks: setup.Replicas, Sets: 2, Experts: 8 * setup.Replicas, Places: 11, Spare: 4}
	s.group = tier.New(setup.Seed, s.shape)
	s.history.Left, s.history.Revoked = make(map[string]time.Time), make(map[string]time.Time)
	closeLog, logAddress, err := serve(s.log)
	if err != nil {
		return nil, err
	}
	defer closeLog()
	if err := s.openSites(); err != nil {
		return nil, err
	}
	defer s.closeSites()
	s.firstConfig()
	if err := s.newProcesses(logAddress); err != nil {
		return nil, err
	}
	running, runningCtx := errgroup.WithContext(ctx)
	for _, p := range slices.Concat(s.entries, s.agents) {
		running.Go(func() error { return p.run(runningCtx) })
	}
	running.Go(func() error { s.group.Run(runningCtx); return nil })
	err = s.load(runningCtx, plan)
	cancel()
	if waited := running.Wait(); err == nil && waited != nil && ctx.Err() == nil {
		err = waited
	}
	if err != nil {
		return nil, err
	}
	s.history.Mixed, s.history.Changes = s.group.Mixed()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Outcomes, s.history.Runs = s.outcomes, s.ledger.Runs()
	return &s.history, nil
}

// load has clients ask while the plan is carried out, and until the recovery is shown.
func (s *stage) load(ctx context.Context, plan []Event) error {
	if err := pause(ctx, startTime); err != nil {
		return err
	}
	begin := time.Now()
	asking, stop := context.WithCancel(ctx)
	defer stop()
	var clients, disturbers errgroup.Group
	for i := range s.setup.Clients {
		clients.Go(func() error { s.client(asking, i); return nil })
	}
	for _, e := range plan {
		disturbers.Go(func() error {
			if err := pause(ctx, time.Until(begin.Add(e.At))); err != nil {
				return err
			}
			from := time.Now()
			err := s.disturb(ctx, e)
			s.mu.Lock()
			s.history.Faults = append(s.history.Faults, Span{From: from, To: time.Now(), Fault: e.Fault})
			s.mu.Unlock()
			return err
		})
	}
	err := disturbers.Wait()
	if err == nil {
		err = pause(ctx, s.setup.Bounds.Recovery+calmTime)
	}
	stop()
	// Clients report nothing; they end with the context.
	_ = clients.Wait()
	s.history.Begin, s.history.End = begin, time.Now()
	return err
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// client asks one request after the other over a kept connection, until the context
// ends. It never asks again for one that failed: each is its own.
func (s *stage) client(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(s.setup.Seed, uint64(number)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	entry := number % len(s.entries)
	for n := 0; pause(ctx, time.Duration(rng.Int64N(2*int64(clientPause)))) == nil; n++ {
		o := Outcome{Kind: []Kind{Safe, Unsafe, Stream}[rng.IntN(3)], Sent: time.Now()}
		o.Ask = mimic.Ask{
			ID: fmt.Sprintf("r-%d-%d", number, n), Entry: s.entries[entry].callers(), Method: http.MethodGet,
			Path: "/safe/" + strconv.Itoa(n), Key: s.key(number), Left: clientLeft,
		}
		switch o.Kind {
		case Unsafe:
			o.Ask.Method, o.Ask.Path = http.MethodPost, "/book/"+strconv.Itoa(n)
		case Stream:
			o.Ask.Method, o.Ask.Path, o.Events = http.MethodPost, "/llm/stream/"+strconv.Itoa(streamEvents), streamEvents
		}
		o.Reply = mimic.Send(ctx, client, o.Ask)
		o.Ended = time.Now()
		if ctx.Err() != nil {
			return
		}
		if o.Reply.Status == 0 {
			entry = (entry + 1) % len(s.entries)
		}
		s.mu.Lock()
		s.outcomes = append(s.outcomes, o)
		s.mu.Unlock()
	}
}

// key returns the key of a client. Some keys are revoked in the course of a run, and
// their clients go on with them.
func (s *stage) key(number int) string {
	return fmt.Sprint("key-", number%accounts)
}

// accounts is the number of client accounts.
const accounts = 10

func (s *stage) firstConfig() {
	for i := range accounts {
		s.keys[fmt.Sprint("key-", i)] = fmt.Sprint("account-", i)
	}
	s.routes = []mimic.Route{
		{Name: "safe", Prefix: "/safe/", Service: serviceDesk, Kind: "safe"},
		{Name: "book", Prefix: "/book/", Service: serviceDesk, Kind: "unsafe"},
		{Name: "llm", Prefix: "/llm/", Service: serviceModel, Kind: "streaming"},
	}
	s.publish()
}

// publish appends the configuration under the next version.
func (s *stage) publish() {
	s.version++
	services := map[string]tier.Shape{serviceDesk: {}, serviceModel: s.shape}
	data, err := mimic.Config(s.version, s.routes, services, s.keys)
	if err != nil {
		panic(err) // Maps of strings can always be encoded.
	}
	s.log.Put(topicConfig, keyConfig, data)
}

// process is an entry or an agent, which is started again whenever it ends.
type process struct {
	binary   string
	role     string
	ip       string
	settings string
	logFile  string

	mu      sync.Mutex
	command *exec.Cmd
}

// newProcesses makes the entries, and an agent beside each engine. Each process has a
// loopback address of its own, as all use the same ports.
func (s *stage) newProcesses(log string) error {
	for i := range s.setup.Entries {
		p, err := s.newProcess("entry", i, mimic.ProcessSettings{Log: log})
		if err != nil {
			return err
		}
		s.entries = append(s.entries, p)
	}
	for _, place := range s.sites {
		if place.service != serviceModel {
			continue
		}
		p, err := s.newProcess("agent", place.rank, mimic.ProcessSettings{Log: log, Engine: place.link.Address(), Service: place.service})
		if err != nil {
			return err
		}
		s.agents = append(s.agents, p)
	}
	return nil
}

func (s *stage) newProcess(role string, number int, settings mimic.ProcessSettings) (*process, error) {
	settings.Name = fmt.Sprint(role, "-", number)
	host := firstEntryHost + number
	if role == "agent" {
		host = firstAgentHost + number
	}
	settings.IP = fmt.Sprintf("127.0.%d.%d", 20+s.setup.Seed%200, host)
	p := &process{
		binary: s.setup.Binary, role: role, ip: settings.IP,
		settings: filepath.Join(s.setup.Work, settings.Name+".toml"), logFile: filepath.Join(s.setup.Work, settings.Name+".log"),
	}
	if err := os.WriteFile(p.settings, []byte(mimic.Settings(settings)), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	return p, nil
}

// The last bytes of the addresses of the first entry and the first agent.
const (
	firstEntryHost = 10
	firstAgentHost = 130
)

func (p *process) callers() string {
	return fmt.Sprintf("%s:%d", p.ip, mimic.CallersPort)
}

// run keeps the process running until the context ends, and ends it then.
func (p *process) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := p.once(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(restartPause):
		}
	}
	return nil
}

func (p *process) once(ctx context.Context) error {
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer out.Close()
	command := exec.CommandContext(ctx, p.binary, p.role)
	command.Env = append(os.Environ(), mimic.SettingsVariable+"="+p.settings)
	command.Stdout, command.Stderr = out, out
	// The kernel ends the process if this one is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.role, err)
	}
	p.mu.Lock()
	p.command = command
	p.mu.Unlock()
	// How it ended stands in its log; it is started again in any case.
	_ = command.Wait()
	return nil
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		// It may have ended just now.
		_ = p.command.Process.Signal(signal)
	}
}
