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

// The targets for the two hops through entry and agent.
const (
	targetAddedP99       = time.Millisecond
	targetTokenProcessor = 5 * time.Microsecond
)

// maxLatency bounds the latencies that the histograms hold.
const maxLatency = time.Minute

// histogramDigits is the number of significant digits of the histograms.
const histogramDigits = 3

// errIncomplete means that an answer ended without its final event.
var errIncomplete = errors.New("answer without final event")

// pathOptions are the settings of one measurement of the data path.
type pathOptions struct {
	replicas int
	streams  int
	tokens   int
	stepTime time.Duration
	rounds   int
	requests int
	// profile is the file that takes the processor profile of the streams
	// through the hops; empty for none.
	profile string
}

func pathCommand() *cli.Command {
	var o pathOptions
	return &cli.Command{
		Name:  "path",
		Usage: "cost of the entry and agent hops beside a direct call to the engine",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "replicas", Value: 12, Usage: "replicas behind the entry", Destination: &o.replicas},
			&cli.IntFlag{Name: "streams", Value: 400, Usage: "streams open at once", Destination: &o.streams},
			&cli.IntFlag{Name: "tokens", Value: 50, Usage: "tokens of each streamed answer", Destination: &o.tokens},
			&cli.DurationFlag{Name: "step", Value: 77 * time.Millisecond, Usage: "time between the tokens of a stream", Destination: &o.stepTime},
			&cli.IntFlag{Name: "rounds", Value: 3, Usage: "rounds, each direct and through the hops", Destination: &o.rounds},
			&cli.IntFlag{Name: "requests", Value: 2000, Usage: "requests of each latency round", Destination: &o.requests},
			&cli.StringFlag{Name: "profile", Usage: "write the processor profile of the latest streams through the hops to `FILE`", Destination: &o.profile},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return measurePath(ctx, c.Root().Writer, o) },
	}
}

// measurePath prints the added latency of single requests, and the processor
// time of each token of streams at the given pace and as fast as possible.
func measurePath(ctx context.Context, out io.Writer, o pathOptions) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "measure\tway\tdirect\tthrough\tadded\ttarget")
	if err := measureLatency(ctx, table, o); err != nil {
		return err
	}
	for _, step := range o.steps() {
		if err := measureTokens(ctx, table, o, step); err != nil {
			return err
		}
	}
	return table.Flush()
}

// measureLatency compares requests sent one after the other with a short answer.
func measureLatency(ctx context.Context, out io.Writer, o pathOptions) error {
	r, err := startRig(ctx, o.replicas, engine.Settings{AnswerTokens: 1})
	if err != nil {
		return err
	}
	defer func() { _ = r.stop(ctx) }()
	direct, through := newHistogram(), newHistogram()
	for range o.rounds {
		for _, side := range []struct {
			urls   []string
			record *hdrhistogram.Histogram
		}{{r.urls(), direct}, {[]string{"http://" + r.entry.Addr()}, through}} {
			if err := requests(ctx, side.urls, o.requests, side.record); err != nil {
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

// requests sends requests one after the other, to each URL in turn.
func requests(ctx context.Context, urls []string, n int, record *hdrhistogram.Histogram) error {
	client := newClient()
	defer client.CloseIdleConnections()
	// The first requests open the connections.
	for i := range n + len(urls) {
		begun := time.Now()
		if _, err := stream(ctx, client, urls[i%len(urls)], fmt.Sprintf("bale %d", i)); err != nil {
			return err
		}
		if i < len(urls) {
			continue
		}
		if err := record.RecordValue(int64(time.Since(begun))); err != nil {
			return err
		}
	}
	return nil
}

// sample is what runs of streams cost.
type sample struct {
	tokens    int64
	processor time.Duration
	// first holds the times to the first token, gaps those between tokens.
	first *hdrhistogram.Histogram
	gaps  *hdrhistogram.Histogram
}

func newSample() *sample {
	return &sample{first: newHistogram(), gaps: newHistogram()}
}

// arrivals are the times at which the events of a stream arrived, from its
// start.
type arrivals []time.Duration

func (s *sample) add(a arrivals) error {
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

func (s *sample) perToken() time.Duration {
	return time.Duration(int64(s.processor) / max(1, s.tokens))
}

// measureTokens compares streams that are open at the same time.
func measureTokens(ctx context.Context, out io.Writer, o pathOptions, step time.Duration) error {
	r, err := startRig(ctx, o.replicas, engine.Settings{
		AnswerTokens: o.tokens, StepTime: step, Capacity: o.streams, QueueLimit: o.streams,
	})
	if err != nil {
		return err
	}
	defer func() { _ = r.stop(ctx) }()
	through := &side{name: "entry and agent", urls: []string{"http://" + r.entry.Addr()}, cost: newSample(), profile: o.profile}
	direct := &side{name: "direct", urls: r.urls(), cost: newSample()}
	copied := &side{name: "bare copy", urls: r.copies, cost: newSample()}
	for range o.rounds {
		for _, s := range []*side{direct, copied, through} {
			if err := s.run(ctx, o.streams); err != nil {
				return err
			}
		}
	}
	pace := "unpaced"
	if step > 0 {
		pace = "a token in " + step.String()
	}
	name := fmt.Sprintf("%d streams, %s", o.streams, pace)
	for _, s := range []*side{copied, through} {
		a, b := direct.cost.perToken(), s.cost.perToken()
		fmt.Fprintf(out, "%s: processor time a token\t%s\t%s\t%s\t%s\t%s\n", name, s.name, a, b, b-a, targetTokenProcessor)
		printPercentiles(out, name+": first token", s.name, direct.cost.first, s.cost.first, 50, 95)
		printPercentiles(out, name+": gap between tokens", s.name, direct.cost.gaps, s.cost.gaps, 50, 95, 99)
	}
	return nil
}

func printPercentiles(out io.Writer, name, side string, direct, through *hdrhistogram.Histogram, percentiles ...float64) {
	for _, p := range percentiles {
		a, b := time.Duration(direct.ValueAtPercentile(p)), time.Duration(through.ValueAtPercentile(p))
		fmt.Fprintf(out, "%s, p%.0f\t%s\t%s\t%s\t%s\t-\n", name, p, side, a, b, b-a)
	}
}

// side is one way to the engines.
type side struct {
	name    string
	urls    []string
	cost    *sample
	profile string
}

func (s *side) run(ctx context.Context, n int) error {
	end, err := startProfile(s.profile)
	if err != nil {
		return err
	}
	return errors.Join(streams(ctx, s.urls, n, s.cost), end())
}

// startProfile starts a processor profile, if a file is named. Each profile
// replaces the one before it.
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

// streams runs streams at the same time and adds their cost to the sample.
func streams(ctx context.Context, urls []string, n int, s *sample) error {
	client := newClient()
	defer client.CloseIdleConnections()
	events := make([]arrivals, n)
	before, err := gauge.CPUTime()
	if err != nil {
		return err
	}
	var group errgroup.Group
	for i := range n {
		group.Go(func() (err error) {
			events[i], err = stream(ctx, client, urls[i%len(urls)], fmt.Sprintf("bale %d", i))
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
	s.processor += after - before
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

// stream reads one streamed answer and returns the arrivals of its events, the
// final one excluded.
func stream(ctx context.Context, client *http.Client, url, text string) (arrivals, error) {
	begun := time.Now()
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"user","content":%q}]}`, rigModel, text)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+rigToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %s", resp.Status)
	}
	lines := bufio.NewReader(resp.Body)
	var events arrivals
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
		events = append(events, time.Since(begun))
	}
}

// steps returns the paces to measure: as fast as possible, and the given one.
func (o pathOptions) steps() []time.Duration {
	if o.stepTime == 0 {
		return []time.Duration{0}
	}
	return []time.Duration{0, o.stepTime}
}
