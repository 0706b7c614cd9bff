// Package story finds what the logs of several processes tell about one request.
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

// Around is the time before and after a request within which what the processes
// came to believe of its replica is part of its story.
const Around = 3 * time.Second

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Fields holds all other fields.
	Fields map[string]any
}

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// Unreadable means that a log can't be read.
	Unreadable Kind = iota
	// Unknown means that no log names the request.
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

// Read returns the lines of a log. What stands before the JSON of a line, such as a
// collector's mark, is passed over, and so are lines without any.
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
		if json.Unmarshal(scanner.Bytes()[start:], &fields) != nil {
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
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return line, false
	}
	line.Time = at
	line.Instance, _ = fields["Instance"].(string)
	line.Message, _ = fields["Message"].(string)
	for _, name := range []string{"Time", "Instance", "Message", "Level"} {
		delete(fields, name)
	}
	line.Fields = fields
	return line, true
}

// Of returns the lines that tell of a request, in the order of their time: those that
// name it, and what was noted about its replica and rank groups around its time.
func Of(request string, lines []Line) ([]Line, error) {
	named := make(map[string]bool)
	var from, to time.Time
	for _, l := range lines {
		if l.Fields["RequestID"] != request {
			continue
		}
		took, _ := l.Fields["TookMs"].(float64)
		begin := l.Time.Add(-time.Duration(took) * time.Millisecond)
		if from.IsZero() || begin.Before(from) {
			from = begin
		}
		if l.Time.After(to) {
			to = l.Time
		}
		if replica, ok := l.Fields["Replica"].(string); ok {
			named[replica] = true
		}
	}
	if from.IsZero() {
		return nil, track.Fail("tell story", Unknown, fmt.Errorf("no line names request %q", request))
	}
	var story []Line
	for _, l := range lines {
		if l.Fields["RequestID"] == request || l.concerns(named) && !l.Time.Before(from.Add(-Around)) && !l.Time.After(to.Add(Around)) {
			story = append(story, l)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return story, nil
}

// general are the messages that concern every request of their time.
var general = []string{
	"rank group", "expert map change", "log lost", "log regained", "configuration in force", "entry stopping", "entry started",
	"agent silent, its rank is reached directly", "group incomplete",
}

// concerns reports whether a line is about one of the replicas or about everybody.
func (l Line) concerns(replicas map[string]bool) bool {
	if _, other := l.Fields["RequestID"]; other {
		return false
	}
	if replica, ok := l.Fields["Replica"].(string); ok {
		return replicas[replica]
	}
	return slices.Contains(general, l.Message)
}

// String returns the line as operators read it.
func (l Line) String() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.SortFunc(names, cmp.Compare)
	var out strings.Builder
	fmt.Fprintf(&out, "%s %-20s %s", l.Time.Format("15:04:05.000"), l.Instance, l.Message)
	for _, name := range names {
		fmt.Fprintf(&out, " %s=%v", name, l.Fields[name])
	}
	return out.String()
}
