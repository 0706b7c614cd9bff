package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/pprof"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"filberttrack.example/track/gauge"
	"filberttrack.example/track/stand/engine"
)

// The targets for what the two hops through entry and agent may add: the 99th percentile of the
// latency, and the CPU time of a token.
const (
	targetAddedP99 = time.Millisecond
	targetTokenCPU = 5 * time.Microsecond
)

// maxLatency is the largest latency that the histograms can record.
const maxLatency = time.Minute

// histogramDigits is the number of significant digits of the histograms.
const histogramDigits = 3

// errIncomplete means that a streamed response ended without its final event.
var errIncomplete = errors.New("stream ended without final event")

// pathOptions are the flags of the path command.
type pathOptions struct {
	replicas int
	streams  int
	tokens   int
	stepTime time.Duration
	rounds   int
	requests int
	// profile is the file for the CPU profile of the streams through the hops; empty for
	// none.
	profile string
}

func pathCommand() *cli.Command {
	var o pathOptions
	return &cli.Command{
		Name:  "path",
		Usage: "measure the cost of the entry and agent hops against direct calls to the engine",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "replicas", Value: 12, Usage: "replicas behind the entry", Destination: &o.replicas},
			&cli.IntFlag{Name: "streams", Value: 400, Usage: "streams open at once", Destination: &o.streams},
			&cli.IntFlag{Name: "tokens", Value: 50, Usage: "tokens of each streamed answer", Destination: &o.tokens},
			&cli.DurationFlag{
				Name: "step", Value: 77 * time.Millisecond, Usage: "time between the tokens of a stream",
				Destination: &o.stepTime,
			},
			&cli.IntFlag{Name: "rounds", Value: 3, Usage: "rounds, each direct and through the hops", Destination: &o.rounds},
			&cli.IntFlag{Name: "requests", Value: 2000, Usage: "requests of each latency round", Destination: &o.requests},
			&cli.StringFlag{
				Name: "profile", Usage: "write the CPU profile of the last streams through the hops to `FILE`",
				Destination: &o.profile,
			},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return measurePath(ctx, c.Root().Writer, o) },
	}
}

// measurePath prints the added latency of single requests, and the CPU time per token of streams
// at the given step time and as fast as possible.
func measurePath(ctx context.Context, out io.Writer, o pathOptions) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "measure\tway\tdirect\tthrough\tadded\ttarget")
	if err := measureLatency(ctx, table, o); err != nil {
		return err
	}
	for _, step := range o.stepTimes() {
		if err := measureTokens(ctx, table, o, step); err != nil {
			return err
		}
	}
	return table.Flush()
}

// measureLatency compares the latency of sequential requests with a response of one token,
// direct and through the hops.
func measureLatency(ctx context.Context, out io.Writer, o pathOptions) error {
	r, err := startTestbed(ctx, o.replicas, engine.Settings{AnswerTokens: 1})
	if err != nil {
		return err
	}
	defer func() { _ = r.stop(ctx) }()
	direct, through := newHistogram(), newHistogram()
	for range o.rounds {
		for _, target := range []struct {
			urls      []string
			latencies *hdrhistogram.Histogram
		}{{r.directURLs(), direct}, {[]string{"http://" + r.entry.Addr()}, through}} {
			if err := sendRequests(ctx, target.urls, o.requests, target.latencies); err != nil {
				return err
			}
		}
	}
	printPercentiles(out, "whole request", "entry and agent", direct, through, 50, 99)
	fmt.Fprintf(out, "whole request, target of p99\t\t\t\t\t%s\n", targetAddedP99)
	return nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency), histogramDigits)
}

// sendRequests sends n requests one after the other, to each URL in turn, and records their
// latencies.
func sendRequests(ctx context.Context, urls []string, n int, latencies *hdrhistogram.Histogram) error {
	client := newClient()
	defer client.CloseIdleConnections()
	// The first request to each URL opens the connection and is not recorded.
	for i := range n + len(urls) {
		start := time.Now()
		if _, err := readStream(ctx, client, urls[i%len(urls)], fmt.Sprintf("bale %d", i)); err != nil {
			return err
		}
		if i < len(urls) {
			continue
		}
		if err := latencies.RecordValue(int64(time.Since(start))); err != nil {
			return err
		}
	}
	return nil
}

// streamStats sums up the cost of streams.
type streamStats struct {
	tokens  int64
	cpuTime time.Duration
	// first holds the times to the first token, gaps those between tokens.
	first *hdrhistogram.Histogram
	gaps  *hdrhistogram.Histogram
}

func newStreamStats() *streamStats {
	return &streamStats{first: newHistogram(), gaps: newHistogram()}
}

// arrivalTimes are the times from the start of a stream to the arrival of each event.
type arrivalTimes []time.Duration

// add adds the tokens of one stream.
func (s *streamStats) add(a arrivalTimes) error {
	for i, at := range a {
		if i == 0 {
			if err := s.first.RecordValue(int64(at)); err != nil {
				return err
			}
			continue
		}
		if err := s.gaps.RecordValue(int64(at - a[i-1])); err != nil {
			return err
		}
	}
	s.tokens += int64(len(a))
	return nil
}

// cpuPerToken returns the mean CPU time of a token.
func (s *streamStats) cpuPerToken() time.Duration {
	return time.Duration(int64(s.cpuTime) / max(1, s.tokens))
}

// measureTokens compares concurrent streams: direct, through copy proxies, and through the hops.
func measureTokens(ctx context.Context, out io.Writer, o pathOptions, step time.Duration) error {
	r, err := startTestbed(ctx, o.replicas, engine.Settings{
		AnswerTokens: o.tokens, StepTime: step, Capacity: o.streams, QueueLimit: o.streams,
	})
	if err != nil {
		return err
	}
	defer func() { _ = r.stop(ctx) }()
	through := &route{
		name: "entry and agent", urls: []string{"http://" + r.entry.Addr()}, stats: newStreamStats(), profile: o.profile,
	}
	direct := &route{name: "direct", urls: r.directURLs(), stats: newStreamStats()}
	copyProxies := &route{name: "bare copy", urls: r.copyProxyURLs, stats: newStreamStats()}
	for range o.rounds {
		for _, route := range []*route{direct, copyProxies, through} {
			if err := route.run(ctx, o.streams); err != nil {
				return err
			}
		}
	}
	pace := "unpaced"
	if step > 0 {
		pace = "a token in " + step.String()
	}
	name := fmt.Sprintf("%d streams, %s", o.streams, pace)
	for _, route := range []*route{copyProxies, through} {
		a, b := direct.stats.cpuPerToken(), route.stats.cpuPerToken()
		fmt.Fprintf(out, "%s: processor time a token\t%s\t%s\t%s\t%s\t%s\n", name, route.name, a, b, b-a, targetTokenCPU)
		printPercentiles(out, name+": first token", route.name, direct.stats.first, route.stats.first, 50, 95)
		printPercentiles(out, name+": gap between tokens", route.name, direct.stats.gaps, route.stats.gaps, 50, 95, 99)
	}
	return nil
}

// printPercentiles prints a row for each percentile: its values in both histograms and their
// difference.
func printPercentiles(
	out io.Writer, name, route string, direct, through *hdrhistogram.Histogram, percentiles ...float64,
) {
	for _, p := range percentiles {
		a, b := time.Duration(direct.ValueAtPercentile(p)), time.Duration(through.ValueAtPercentile(p))
		fmt.Fprintf(out, "%s, p%.0f\t%s\t%s\t%s\t%s\t-\n", name, p, route, a, b, b-a)
	}
}

// route is one way to reach the engines.
type route struct {
	name    string
	urls    []string
	stats   *streamStats
	profile string
}

// run runs n concurrent streams over the route and writes a CPU profile, if a file is named.
func (r *route) run(ctx context.Context, n int) error {
	stopProfile, err := startProfile(r.profile)
	if err != nil {
		return err
	}
	return errors.Join(runStreams(ctx, r.urls, n, r.stats), stopProfile())
}

// startProfile starts a CPU profile if a file is named, and returns the function that ends it. Each
// profile overwrites the previous one.
func startProfile(name string) (func() error, error) {
	if name == "" {
		return func() error { return nil }, nil
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return func() error {
		pprof.StopCPUProfile()
		return file.Close()
	}, nil
}

// runStreams runs n concurrent streams and adds their cost to s.
func runStreams(ctx context.Context, urls []string, n int, s *streamStats) error {
	client := newClient()
	defer client.CloseIdleConnections()
	events := make([]arrivalTimes, n)
	before, err := gauge.CPUTime()
	if err != nil {
		return err
	}
	var group errgroup.Group
	for i := range n {
		group.Go(func() (err error) {
			events[i], err = readStream(ctx, client, urls[i%len(urls)], fmt.Sprintf("bale %d", i))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	after, err := gauge.CPUTime()
	if err != nil {
		return err
	}
	s.cpuTime += after - before
	for _, a := range events {
		if err := s.add(a); err != nil {
			return err
		}
	}
	return nil
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1 << 14, DisableCompression: true}}
}

var (
	dataPrefix = []byte("data: ")
	doneData   = []byte("[DONE]")
)

// readStream sends a request, reads the streamed response and returns the arrival times of its
// events, without the final one.
func readStream(ctx context.Context, client *http.Client, url, text string) (arrivalTimes, error) {
	start := time.Now()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, testbedModel, text)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+testbedToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("unexpected status %s", resp.Status)
	}
	lines := bufio.NewReader(resp.Body)
	var events arrivalTimes
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return events, fmt.Errorf("%w: %w", errIncomplete, err)
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		if bytes.HasPrefix(data, doneData) {
			_, err := io.Copy(io.Discard, lines)
			return events, err
		}
		events = append(events, time.Since(start))
	}
}

// stepTimes returns the step times of the engine to measure: 0, which is as fast as possible, and
// the given one.
func (o pathOptions) stepTimes() []time.Duration {
	if o.stepTime == 0 {
		return []time.Duration{0}
	}
	return []time.Duration{0, o.stepTime}
}
