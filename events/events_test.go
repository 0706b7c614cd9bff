package events_test

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track"
	"filberttrack.example/track/events"
)

// stream returns the events with the IDs from first to last.
func stream(first, last int) string {
	var out bytes.Buffer
	for i := first; i <= last; i++ {
		fmt.Fprintf(&out, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return out.String()
}

func TestAddReturnsCompleteEventsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := stream(1, rapid.IntRange(0, 8).Draw(t, "events"))
		s := events.New("")
		var out []byte
		for remaining := []byte(input); len(remaining) > 0; {
			n := rapid.IntRange(1, len(remaining)).Draw(t, "read")
			got, err := s.Add(remaining[:n])
			assert.NilError(t, err)
			assert.Assert(t, len(got) == 0 || bytes.HasSuffix(got, []byte("\n\n")))
			out = append(out, got...)
			remaining = remaining[n:]
		}
		assert.Equal(t, string(out), input)
		assert.Assert(t, !s.Partial())
	})
}

func TestEventOrder(t *testing.T) {
	for _, c := range []struct {
		name, lastEventID, in, want string
		outOfOrder                  bool
	}{
		{"in order", "", stream(1, 3), stream(1, 3), false},
		{"missing event", "", stream(1, 2) + stream(4, 4), stream(1, 2), true},
		{"repeated event", "", stream(1, 2) + stream(2, 3), stream(1, 2), true},
		{"resumed too late", "4", stream(6, 6), "", true},
		{"resumed in order", "4", stream(5, 6), stream(5, 6), false},
		{"restarted instead of resumed", "4", stream(1, 6), "", true},
		{"without IDs", "", "data: a\n\ndata: b\n\n", "data: a\n\ndata: b\n\n", false},
		{"with carriage returns", "", "id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := events.New(c.lastEventID).Add([]byte(c.in))
			assert.Equal(t, string(got), c.want)
			assert.Equal(t, track.IsKind(err, events.OutOfOrder), c.outOfOrder, "%v", err)
		})
	}
}

func TestTooLongEvent(t *testing.T) {
	_, err := events.New("").Add(bytes.Repeat([]byte("x"), events.MaxEventBytes+1))
	assert.Assert(t, track.IsKind(err, events.TooLong))
}

func FuzzAdd(f *testing.F) {
	f.Add([]byte(stream(1, 2)), 3)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		s := events.New("")
		cut = min(max(cut, 0), len(data))
		first, err := s.Add(data[:cut])
		out := bytes.Clone(first)
		if err == nil {
			second, _ := s.Add(data[cut:])
			out = append(out, second...)
		}
		assert.Assert(t, bytes.HasPrefix(data, out), "the output must be a prefix of the input")
	})
}

// Guards against the text of an error that is relayed as a part of a stream.
func TestTextThatIsNoEvent(t *testing.T) {
	for _, c := range []struct {
		text  string
		event bool
	}{
		{"HTTP/1.1 404 Not Found\r\n\r\n", false},
		{"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n", false},
		{"{\"error\":{\"message\":\"gone\"}}\n\n", false},
		{"<html>\n\n", false},
		{": still here\n\n", true},
		{":\n\n", true},
		{"data\n\n", true},
		{"retry: 3\n\n", true},
		{"unknown: 1\ndata: piece\n\n", true},
		{"\n", true},
	} {
		out, err := events.New("").Add([]byte("data: piece\n\n" + c.text))
		assert.Equal(t, track.IsKind(err, events.NotAnEvent), !c.event, "%q: %v", c.text, err)
		assert.Equal(t, len(out) > len("data: piece\n\n"), c.event, "%q", c.text)
	}
}
