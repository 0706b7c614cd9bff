// Package story collects the log lines of several processes that relate to one request.
package story

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"filberttrack.example/track"
)

// ContextWindow is the time before and after a request for which log lines about its
// replicas and about the whole system are included.
const ContextWindow = 3 * time.Second

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is one JSON line of a log.
type Line struct {
	Time time.Time
	// Instance is the ID of the instance that logged the line.
	Instance string
	Message  string
	// Fields holds all other fields except the level, by name.
	Fields map[string]any
}

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// Unreadable means that a log can't be read, for instance because a line is too long.
	Unreadable Kind = iota
	// Unknown means that no log line has the ID of the request.
	Unknown
)

// String returns the kind in lower case.
func (k Kind) String() string {
	if k == Unreadable {
		return "unreadable"
	}
	return "unknown"
}

// Error is the error of this package.
type Error = track.OpError[Kind]

// Read returns the JSON lines of a log. Text before the JSON of a line, such as the prefix
// of a log collector, is ignored, and so are lines without valid JSON or a valid time. It
// fails with Unreadable.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		decoder := json.NewDecoder(bytes.NewReader(scanner.Bytes()[start:]))
		// A float64 can't hold all fingerprints.
		decoder.UseNumber()
		if decoder.Decode(&fields) != nil || decoder.More() {
			continue
		}
		if line, ok := newLine(fields); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return lines, track.Fail("read log", Unreadable, err)
	}
	return lines, nil
}

func newLine(fields map[string]any) (Line, bool) {
	var line Line
	text, _ := fields["Time"].(string)
	timestamp, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return line, false
	}
	line.Time = timestamp
	line.Instance, _ = fields["Instance"].(string)
	line.Message, _ = fields["Message"].(string)
	for _, name := range []string{"Time", "Instance", "Message", "Level"} {
		delete(fields, name)
	}
	line.Fields = fields
	return line, true
}

// ForRequest returns the lines that relate to a request, sorted by time: those with its ID, and
// those within ContextWindow of it about its replicas or about the whole system, such as
// changes of rank groups. It fails with Unknown.
func ForRequest(requestID string, lines []Line) ([]Line, error) {
	replicas := make(map[string]bool)
	var start, end time.Time
	for _, l := range lines {
		if l.Fields["RequestID"] != requestID {
			continue
		}
		// Lines about other things than a whole request have no duration.
		took, _ := l.Fields["TookMs"].(json.Number)
		millis, _ := took.Int64()
		lineStart := l.Time.Add(-time.Duration(millis) * time.Millisecond)
		if start.IsZero() || lineStart.Before(start) {
			start = lineStart
		}
		if l.Time.After(end) {
			end = l.Time
		}
		if replica, ok := l.Fields["Replica"].(string); ok {
			replicas[replica] = true
		}
	}
	if start.IsZero() {
		return nil, track.Fail("find request", Unknown, fmt.Errorf("no log line has request ID %q", requestID))
	}
	var related []Line
	for _, l := range lines {
		if l.Fields["RequestID"] == requestID || l.isRelatedTo(replicas) &&
			!l.Time.Before(start.Add(-ContextWindow)) && !l.Time.After(end.Add(ContextWindow)) {
			related = append(related, l)
		}
	}
	slices.SortStableFunc(related, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return related, nil
}

// systemMessages are the log messages that relate to every request at that time.
var systemMessages = []string{
	"rank group", "expert map change", "log lost", "log regained", "configuration in force",
	"entry stopping", "entry started", "agent silent, its rank is reached directly", "group incomplete",
}

// isRelatedTo reports whether the line is about one of the replicas or about the whole
// system. Lines of requests never are.
func (l Line) isRelatedTo(replicas map[string]bool) bool {
	if _, ofRequest := l.Fields["RequestID"]; ofRequest {
		return false
	}
	if replica, ok := l.Fields["Replica"].(string); ok {
		return replicas[replica]
	}
	return slices.Contains(systemMessages, l.Message)
}

// String formats the line for operators: time, instance, message and the fields sorted by
// name.
func (l Line) String() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-20s %s", l.Time.Format("15:04:05.000"), l.Instance, l.Message)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
