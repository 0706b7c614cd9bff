package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// world is a small deployment: entries, the platform's store and replicas.
type world struct {
	trouble  bool
	record   *recorder
	network  *network
	folder   string
	platform *platform
	ledger   *ledger
	clients  *clientLog
	entries  []*entryProcess
	// links holds the path of each entry to the store.
	links []*link

	mu       sync.Mutex
	replicas []*replica
	nextHost int
	watching context.CancelFunc
}

// newWorld returns a deployment whose entries don't run yet.
func newWorld(entryCount int, trouble bool, record *recorder) (*world, error) {
	n, err := reserveNetwork()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, fmt.Errorf("create a folder: %w", err)
	}
	w := &world{
		trouble: trouble, record: record, network: n, folder: folder, ledger: &ledger{}, clients: &clientLog{},
		nextHost: firstReplicaHost,
	}
	if w.platform, err = startPlatform(fmt.Sprintf("%s:%d", n.ip(storeHost), storePort), record); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(entryCount, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", n.ip(firstEntryHost+i), controlPort))
	}
	for i := range entryCount {
		address := fmt.Sprintf("%s:%d", n.ip(firstLinkHost+i), storePort)
		l, err := newLink(address, w.storeAddress(storeHost))
		if err != nil {
			return nil, err
		}
		w.links = append(w.links, l)
		e := newEntry(i, n.ip(firstEntryHost+i), folder, seeds, record)
		if err := e.writeSettings(address); err != nil {
			return nil, fmt.Errorf("write the settings of %s: %w", e.name, err)
		}
		w.entries = append(w.entries, e)
	}
	return w, nil
}

// storeAddress returns the address of a store on a host.
func (w *world) storeAddress(host int) string {
	return fmt.Sprintf("%s:%d", w.network.ip(host), storePort)
}

// addReplicas starts and lists replicas of a service.
func (w *world) addReplicas(service string, count int, work time.Duration) error {
	for range count {
		if _, err := w.addReplica(service, work); err != nil {
			return err
		}
	}
	return nil
}

// addReplica starts and lists a replica of a service at a new address.
func (w *world) addReplica(service string, work time.Duration) (*replica, error) {
	w.mu.Lock()
	host := w.nextHost
	w.nextHost++
	w.mu.Unlock()
	address := fmt.Sprintf("%s:%d", w.network.ip(firstReplicaHost+(host-firstReplicaHost)%80), replicaPort+(host-firstReplicaHost)/80)
	r, err := startReplica(fmt.Sprintf("i-%04d", host), service, address, work, w.ledger, w.record)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.replicas = append(w.replicas, r)
	w.mu.Unlock()
	w.platform.list(r)
	return r, nil
}

// startTimeout is the time that the entries have to become ready.
const startTimeout = 15 * time.Second

var errNotReady = errors.New("the entries aren't ready in time")

// startEntries starts all entries.
func (w *world) startEntries(ctx context.Context) error {
	ctx, w.watching = context.WithCancel(ctx)
	for _, e := range w.entries {
		if err := e.start(); err != nil {
			return err
		}
		go e.watchReadiness(ctx)
		time.Sleep(startSpread / time.Duration(len(w.entries)))
	}
	return nil
}

// startSpread is the time within which all machines start.
const startSpread = 300 * time.Millisecond

// awaitReady waits until all entries are ready, and then until they are in touch.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(startTimeout)
	for _, e := range w.entries {
		for !e.inRotation() {
			if time.Now().After(deadline) {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(touchTime)
	w.record.say("all entries are ready")
	return nil
}

// touchTime is stable_window_ms of the settings: the time after the start of a machine from which on the
// rules bind it.
const touchTime = 3 * time.Second

// close ends all processes and stand-ins.
func (w *world) close() {
	if w.watching != nil {
		w.watching()
	}
	for _, e := range w.entries {
		e.close()
	}
	for _, l := range w.links {
		// Nothing uses the listener any more.
		_ = l.listener.Close()
	}
	w.mu.Lock()
	replicas := w.replicas
	w.mu.Unlock()
	for _, r := range replicas {
		r.stop()
	}
	w.platform.close()
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		fmt.Println("logs are in", w.folder)
		return
	}
	if err := os.RemoveAll(w.folder); err != nil {
		fmt.Fprintln(os.Stderr, "remove the folder:", err)
	}
}
