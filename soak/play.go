package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"filberttrack.example/track/platform/mimic"
	"filberttrack.example/track/stand/tier"
)

// Setup describes a run.
type Setup struct {
	Binary, WorkDir            string
	Seed                       uint64
	Entries, Replicas, Clients int
	// Zones is the number of zones over which entries and replicas are spread in turn.
	Zones  int
	Length time.Duration
	Bounds Bounds
}

const (
	// startupTime is the time that entries have to start and to find each other.
	startupTime = 3 * time.Second
	// recoveredLoadTime is the time for which the load continues after the recovery time.
	recoveredLoadTime = 4 * time.Second
	// meanClientPause is the mean pause between two requests of a client.
	meanClientPause = 150 * time.Millisecond
	// clientTimeout is the time that a client gives each request.
	clientTimeout = 3 * time.Second
	// workTime is the time that a replica needs for a call or an event.
	workTime = 12 * time.Millisecond
	// streamEvents is the number of events of a stream, streamKind the first part of their prompts,
	// and subjects the number of second parts.
	streamEvents = 14
	streamKind   = "kind"
	subjects     = 30
	// restartPause is the time between the end of a process and its restart.
	restartPause = 300 * time.Millisecond
)

// Names of topics, keys and services in the platform's log and in the configuration.
const (
	topicConfig   = "op"
	topicReplicas = "servers"
	keyConfig     = "config"
	serviceDesk   = "desk"
	serviceModel  = "model"
	firstKey      = "key-0"
	// firstSafeRoute is the route for idempotent requests in the first configuration.
	firstSafeRoute = "safe"
)

// testbed holds the processes, replicas and observations of one run.
type testbed struct {
	setup     Setup
	log       *mimic.Log
	ledger    *mimic.ExecutionRecorder
	entries   []*process
	agents    []*process
	endpoints []*endpoint
	group     *tier.Group
	network   *network

	shape tier.Shape
	// restarts holds the restarts of replicas that have crashed.
	restarts errgroup.Group
	// crashedRanks counts the ranks that have crashed and don't run again yet.
	crashedRanks atomic.Int32

	mu       sync.Mutex
	version  uint64
	keys     map[string]string
	routes   []mimic.Route
	history  History
	requests []RequestRecord
	// listed holds the latest record of each replica; nil for one that was deleted.
	listed map[string][]byte
	// cold describes the replicas that are cold after a start.
	cold mimic.ColdStart
	// evacuated holds, for each zone that was ever evacuated, whether it is at present.
	evacuated map[string]bool
}

// endpoint is a fixed address at which replicas run one after the other, behind a link.
type endpoint struct {
	service string
	// index is the number of the endpoint among those of its service.
	index int
	link  *Link

	mu      sync.Mutex
	replica *mimic.Replica
	starts  int
	// unavailable is set while the replica is leaving or dead.
	unavailable bool
}

// buildBinary builds the daemons' binary.
func buildBinary(ctx context.Context, binary string) error {
	command := exec.CommandContext(ctx, "go", "build", "-o", binary, "./cmd/trackd")
	command.Stderr = os.Stderr
	if err := command.Run(); err != nil {
		return fmt.Errorf("build trackd: %w", err)
	}
	return nil
}

// RunTestbed runs the daemons under load, injects the planned faults, and returns what was observed.
func RunTestbed(ctx context.Context, setup Setup, plan []PlannedFault) (*History, error) {
	if err := os.MkdirAll(setup.WorkDir, 0o755); err != nil {
		return nil, fmt.Errorf("create directory: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &testbed{setup: setup, log: mimic.NewLog(), ledger: &mimic.ExecutionRecorder{}, keys: make(map[string]string), listed: make(map[string][]byte)}
	s.shape = tier.Shape{Ranks: setup.Replicas, Sets: 2, Experts: 8 * setup.Replicas, Places: 11, Spare: 4}
	s.group = tier.New(setup.Seed, s.shape)
	s.history.LeftAt, s.history.RevokedAt = make(map[string]time.Time), make(map[string]time.Time)
	s.history.AddedAt = make(map[string]time.Time)
	s.cold, s.history.ColdFrom = planColdStart(plan, setup.Bounds), make(map[string]time.Time)
	s.evacuated, s.history.ReplicaZones = make(map[string]bool), make(map[string]string)
	var err error
	if s.network, err = reserveNetwork(setup.Seed); err != nil {
		return nil, err
	}
	// A network that isn't freed now is freed when the process ends.
	defer func() { _ = s.network.Close() }()
	closeLog, logAddress, err := startServer(s.log)
	if err != nil {
		return nil, err
	}
	defer closeLog()
	if err := s.startReplicas(ctx); err != nil {
		return nil, err
	}
	defer s.closeLinks()
	s.publishFirstConfig()
	if err := s.newProcesses(logAddress); err != nil {
		return nil, err
	}
	running, runningCtx := errgroup.WithContext(ctx)
	for _, p := range slices.Concat(s.entries, s.agents) {
		running.Go(func() error { return p.run(runningCtx) })
	}
	running.Go(func() error { s.group.Run(runningCtx); return nil })
	err = s.runLoad(runningCtx, plan)
	cancel()
	if waited := running.Wait(); err == nil && waited != nil && ctx.Err() == nil {
		err = waited
	}
	if restarted := s.restarts.Wait(); err == nil && !errors.Is(restarted, context.Canceled) {
		err = restarted
	}
	if err != nil {
		return nil, err
	}
	s.history.MixedMaps, s.history.MapChanges = s.group.MapMismatch()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Requests, s.history.Runs = s.requests, s.ledger.Executions()
	s.history.Crashes, s.history.CrashArrivals = s.ledger.Crashes()
	s.history.Received = s.ledger.Received()
	s.history.ArrivalsUnderLimit = s.ledger.ArrivalsUnderLimit()
	s.history.ArrivalsDuringRest, s.history.Entries = s.ledger.ArrivalsDuringRest(), len(s.entries)
	return &s.history, nil
}

// runLoad runs the clients while it injects the planned faults, and until the recovery can be
// checked.
func (s *testbed) runLoad(ctx context.Context, plan []PlannedFault) error {
	if err := sleep(ctx, startupTime); err != nil {
		return err
	}
	loadStart := time.Now()
	clientsCtx, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var clients, injectors errgroup.Group
	for i := range s.setup.Clients {
		clients.Go(func() error { s.runClient(clientsCtx, i); return nil })
	}
	for _, e := range plan {
		injectors.Go(func() error {
			if err := sleep(ctx, time.Until(loadStart.Add(e.At))); err != nil {
				return err
			}
			from := time.Now()
			err := s.injectFault(ctx, e)
			s.recordFault(FaultPeriod{From: from, To: time.Now(), Fault: e.Fault})
			return err
		})
	}
	err := injectors.Wait()
	if err == nil {
		err = sleep(ctx, s.setup.Bounds.RecoveryTime+recoveredLoadTime)
	}
	stopClients()
	// Clients return no errors; they end with the context.
	_ = clients.Wait()
	s.history.LoadStart, s.history.LoadEnd = loadStart, time.Now()
	return err
}

// sleep waits for a duration or until the context ends, in which case it returns the cause.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// runClient sends one request after the other over a kept connection until the context ends. It
// never retries a failed request, so that each request is sent once.
func (s *testbed) runClient(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(s.setup.Seed, uint64(number)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	entry := number % len(s.entries)
	for n := 0; sleep(ctx, time.Duration(rng.Int64N(2*int64(meanClientPause)))) == nil; n++ {
		if rng.IntN(requestsPerEntry) == 0 {
			entry = rng.IntN(len(s.entries))
		}
		o := RequestRecord{Kind: []RequestKind{Safe, Unsafe, Stream}[rng.IntN(3)], Sent: time.Now()}
		o.Route = s.safeRoute(rng)
		o.Request = mimic.Request{
			ID: fmt.Sprintf("r-%d-%d", number, n), Entry: s.entries[entry].callersAddress(), Method: http.MethodGet,
			Path: "/" + o.Route + "/" + strconv.Itoa(n), Key: s.clientKey(number), Timeout: clientTimeout,
		}
		switch o.Kind {
		case Unsafe:
			o.Route = "book"
			o.Request.Method, o.Request.Path = http.MethodPost, "/book/"+strconv.Itoa(n)
		case Stream:
			o.Route = "llm"
			o.Request.Method, o.Request.Path, o.Events = http.MethodPost, "/llm/stream/"+strconv.Itoa(streamEvents), streamEvents
			o.Request.Prompt = fmt.Sprintf("%s:40,subject-%d:200,own:100", streamKind, rng.IntN(subjects))
		}
		if rng.IntN(requestsPerUpload) == 0 {
			o.Request.UploadBytes = mimic.MaxBodyBytes
		}
		o.Response = mimic.Send(ctx, client, o.Request)
		o.Ended = time.Now()
		if ctx.Err() != nil {
			return
		}
		if o.Response.Status == 0 {
			entry = (entry + 1) % len(s.entries)
		}
		s.mu.Lock()
		s.requests = append(s.requests, o)
		s.mu.Unlock()
	}
}

// safeRoute returns a route for idempotent requests: the first one, or one of those that should be in
// force by now.
func (s *testbed) safeRoute(rng *rand.Rand) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{firstSafeRoute}
	for _, r := range s.routes {
		if addedAt, added := s.history.AddedAt[r.Name]; added && time.Since(addedAt) > s.setup.Bounds.ApplyTime {
			names = append(names, r.Name)
		}
	}
	return names[rng.IntN(len(names))]
}

// requestsPerEntry is the mean number of requests after which a client turns to another entry, so that
// one that starts again gets requests, too.
const requestsPerEntry = 20

// requestsPerUpload is the mean number of requests from one with a body to the next.
const requestsPerUpload = 32

// clientKey returns the key of a client. Clients continue to use keys that are revoked during the
// run.
func (s *testbed) clientKey(number int) string {
	return fmt.Sprint("key-", number%accountCount)
}

// accountCount is the number of client accounts.
const accountCount = 10

// publishFirstConfig publishes a configuration with all accounts and three routes.
func (s *testbed) publishFirstConfig() {
	for i := range accountCount {
		s.keys[fmt.Sprint("key-", i)] = fmt.Sprint("account-", i)
	}
	s.routes = []mimic.Route{
		{Name: firstSafeRoute, Prefix: "/safe/", Service: serviceDesk, Kind: "safe"},
		{Name: "book", Prefix: "/book/", Service: serviceDesk, Kind: "unsafe"},
		{Name: "llm", Prefix: "/llm/", Service: serviceModel, Kind: "streaming"},
	}
	s.publishConfig()
}

// publishConfig appends the configuration to the log with the next version.
func (s *testbed) publishConfig() {
	s.version++
	s.putConfig()
}

// putConfig appends the configuration to the log with its present version.
func (s *testbed) putConfig() {
	services := map[string]tier.Shape{serviceDesk: {}, serviceModel: s.shape}
	data, err := mimic.Config(s.version, s.routes, services, s.cold, s.keys)
	if err != nil {
		panic(err) // This can't happen: maps of strings can always be encoded.
	}
	s.log.Put(topicConfig, keyConfig, data)
}

// process is an entry or an agent, which is restarted whenever it ends.
type process struct {
	binary   string
	role     string
	ip       string
	settings string
	logFile  string

	mu      sync.Mutex
	command *exec.Cmd
}

// newProcesses creates the entries, and an agent for each engine. Each process has a loopback
// address of its own, as all use the same ports.
func (s *testbed) newProcesses(log string) error {
	for i := range s.setup.Entries {
		p, err := s.newProcess("entry", i, mimic.ProcessSettings{Log: log})
		if err != nil {
			return err
		}
		s.entries = append(s.entries, p)
	}
	for _, ep := range s.endpoints {
		if ep.service != serviceModel {
			continue
		}
		p, err := s.newProcess("agent", ep.index, mimic.ProcessSettings{Log: log, Engine: ep.link.Address(), Service: ep.service})
		if err != nil {
			return err
		}
		s.agents = append(s.agents, p)
	}
	return nil
}

func (s *testbed) newProcess(role string, number int, settings mimic.ProcessSettings) (*process, error) {
	settings.Name, settings.Zone = fmt.Sprint(role, "-", number), s.zone(number)
	for i := range s.setup.Zones {
		settings.Zones = append(settings.Zones, s.zone(i))
	}
	host := firstEntryHost + number
	if role == "agent" {
		host = firstAgentHost + number
	}
	settings.IP = s.network.address(host)
	p := &process{
		binary: s.setup.Binary, role: role, ip: settings.IP,
		settings: filepath.Join(s.setup.WorkDir, settings.Name+".toml"), logFile: filepath.Join(s.setup.WorkDir, settings.Name+".log"),
	}
	if err := os.WriteFile(p.settings, []byte(mimic.Settings(settings)), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	return p, nil
}

// zone returns the zone of the entry, or of the endpoints, with a number.
func (s *testbed) zone(number int) string { return fmt.Sprint("zone-", number%s.setup.Zones) }

// The last bytes of the IP addresses of the first entry and the first agent.
const (
	firstEntryHost = 10
	firstAgentHost = 130
)

// callersAddress returns the address at which the process accepts requests of clients.
func (p *process) callersAddress() string {
	return fmt.Sprintf("%s:%d", p.ip, mimic.CallersPort)
}

// run keeps the process running until the context ends, and then stops it.
func (p *process) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := p.runOnce(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(restartPause):
		}
	}
	return nil
}

// runOnce starts the process and waits for its end. An error means that it could not be started.
func (p *process) runOnce(ctx context.Context) error {
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log file: %w", err)
	}
	defer out.Close()
	command := exec.CommandContext(ctx, p.binary, p.role)
	command.Env = append(os.Environ(), mimic.SettingsVariable+"="+p.settings)
	command.Stdout, command.Stderr = out, out
	// The kernel kills the process if this one dies.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.role, err)
	}
	p.mu.Lock()
	p.command = command
	p.mu.Unlock()
	// The reason for its end is in its log. It is restarted in any case.
	_ = command.Wait()
	return nil
}

// signal sends a signal to the process if it runs.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		// An error means that the process has just ended.
		_ = p.command.Process.Signal(signal)
	}
}
