package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The dimensions of the case memory.
const (
	memoryEntries = 2
	// memoryClients is the usual number of clients, and memoryBurst that of a burst of 1.7 times the traffic.
	memoryClients = 80
	memoryBurst   = 136
	// memoryBody is the size of the bodies, less than max_body_bytes.
	memoryBody = 4<<20 - 1024
	// memoryRate is the rate in bytes a second at which a client sends a body. The clients of an entry together stay
	// below the 1,000 Mbit/s of its link, in a burst too (762 on average), so that no packet waits there.
	memoryRate = 1_400_000
	// memoryWork is the time that a replica works on a request.
	memoryWork = 2 * time.Second
	// memoryUsual is the time with the usual traffic before the burst, and memoryBurstTime the length of the burst.
	memoryUsual     = 8 * time.Second
	memoryBurstTime = 3 * time.Second
	// memoryRest is the time with the usual traffic after the burst.
	memoryRest = 6 * time.Second
	// memoryPause is the time that a client waits after a request without an answer.
	memoryPause = 500 * time.Millisecond
	// memoryWatch is the time between two looks at the memory of a process.
	memoryWatch = 10 * time.Millisecond
)

// runMemory lets many clients send long bodies at once. The stand-in of the platform kills a process that
// exceeds its memory. It checks that no request that was passed on to a replica ends without an answer.
func runMemory(ctx context.Context, trouble bool, record *recorder) error {
	w, err := newWorld(memoryEntries, trouble, record)
	if err != nil {
		return err
	}
	defer w.close()
	c := configuration{version: 1, keys: []string{"key1"}, routes: []route{
		{name: "book", prefix: "/book/", service: "desk", kind: "unsafe", timeoutMs: 8000},
	}}
	if err := w.platform.configure(c); err != nil {
		return err
	}
	if err := w.addReplicas("desk", 12, memoryWork); err != nil {
		return err
	}
	if err := w.startEntries(ctx); err != nil {
		return err
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	watchCtx, endWatch := context.WithCancel(ctx)
	defer endWatch()
	for _, e := range w.entries {
		go e.watchMemory(watchCtx)
	}
	end := time.Now().Add(memoryUsual + memoryBurstTime + memoryRest)
	var clients sync.WaitGroup
	for range memoryClients {
		clients.Go(func() { w.sendBodies(ctx, memoryUsual/2, end) })
	}
	time.Sleep(memoryUsual)
	if trouble {
		w.record.say("the burst begins")
		burstEnd := time.Now().Add(memoryBurstTime)
		for range memoryBurst - memoryClients {
			clients.Go(func() { w.sendBodies(ctx, 0, burstEnd) })
		}
	}
	clients.Wait()
	return w.checkAnswered()
}

// sendBodies sends one request after the other over a kept channel: a short one first and, from a random time within
// spread on, long ones, until the end.
func (w *world) sendBodies(ctx context.Context, spread time.Duration, end time.Time) {
	c := w.newClient()
	defer c.http.CloseIdleConnections()
	if spread > 0 {
		time.Sleep(rand.N(spread))
	}
	body := bytes.Repeat([]byte("x"), memoryBody)
	send := func(body []byte) {
		id := newID()
		served := c.send(ctx, request{
			id: id, method: http.MethodPost, path: "/book/" + id, key: "key1", body: body, rate: memoryRate, timeout: 8 * time.Second,
		})
		if !served {
			time.Sleep(memoryPause)
		}
	}
	for send([]byte("x")); time.Now().Before(end) && ctx.Err() == nil; {
		send(body)
	}
}

// residentMB returns the memory of a process; false if it has ended.
func residentMB(pid int) (int, bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb >> 10, err == nil
		}
	}
	return 0, false
}

// watchMemory kills the process when it exceeds its memory, and starts it again.
func (e *entryProcess) watchMemory(ctx context.Context) {
	most, killed := 0, false
	for ctx.Err() == nil {
		time.Sleep(memoryWatch)
		e.mu.Lock()
		pid := e.command.Process.Pid
		e.mu.Unlock()
		used, ok := residentMB(pid)
		if !ok {
			continue
		}
		if used > most {
			most = used
			e.record.add(time.Now(), "entry %s uses %d MB", e.name, used)
		}
		if used <= memoryMB {
			continue
		}
		e.record.say("entry %s uses %d MB of %d and is killed", e.name, used, memoryMB)
		if !killed {
			killed = true
			e.mu.Lock()
			e.killedAt = time.Now()
			e.mu.Unlock()
		}
		<-e.signal(syscall.SIGKILL)
		time.Sleep(restartPause)
		most = 0
		if err := e.start(); err != nil {
			return
		}
	}
}

// firstKilled returns the entry that was killed first, and when; nil if none was.
func (w *world) firstKilled() (*entryProcess, time.Time) {
	var first *entryProcess
	var at time.Time
	for _, e := range w.entries {
		e.mu.Lock()
		killedAt := e.killedAt
		e.mu.Unlock()
		if !killedAt.IsZero() && (first == nil || killedAt.Before(at)) {
			first, at = e, killedAt
		}
	}
	return first, at
}

// checkAnswered counts the requests that came over kept channels, ran, and whose channels were closed without an
// answer. After the entry that was killed first has left, the clients press on the others beyond their links: what is
// lost then isn't counted.
func (w *world) checkAnswered() error {
	ran := make(map[string]bool)
	for _, r := range w.ledger.all() {
		ran[r.id] = true
	}
	first, killedAt := w.firstKilled()
	lost, later, unread, served := 0, 0, 0, 0
	answers := w.clients.all()
	for _, a := range answers {
		switch {
		case a.served():
			served++
		case a.status != 0:
		case !ran[a.request.id]:
			unread++
		case first != nil && a.entry == first.name && a.sentAt.Before(killedAt) && a.kept:
			lost++
			w.record.say("%s ran and got no answer from %s: %s", a.request.id, a.entry, a.fault)
		default:
			later++
		}
	}
	w.record.say("%d requests, %d served, %d ran without an answer at the first kill, %d later, %d had no answer and didn't run",
		len(answers), served, lost, later, unread)
	if lost > 3 {
		return fmt.Errorf("%w: LOST, %d requests", errBroken, lost)
	}
	return nil
}
