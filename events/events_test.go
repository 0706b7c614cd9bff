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

func stream(from, to int) string {
	var out bytes.Buffer
	for i := from; i <= to; i++ {
		fmt.Fprintf(&out, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return out.String()
}

func TestWholeEventsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := stream(1, rapid.IntRange(0, 8).Draw(t, "events"))
		s := events.New("")
		var out []byte
		for rest := []byte(whole); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			got, err := s.Add(rest[:n])
			assert.NilError(t, err)
			assert.Assert(t, len(got) == 0 || bytes.HasSuffix(got, []byte("\n\n")))
			out = append(out, got...)
			rest = rest[n:]
		}
		assert.Equal(t, string(out), whole)
		assert.Assert(t, !s.Partial())
	})
}

func TestOrder(t *testing.T) {
	for _, c := range []struct {
		name, after, in, out string
		fails                bool
	}{
		{"in order", "", stream(1, 3), stream(1, 3), false},
		{"one missing", "", stream(1, 2) + stream(4, 4), stream(1, 2), true},
		{"one twice", "", stream(1, 2) + stream(2, 3), stream(1, 2), true},
		{"begins late", "4", stream(6, 6), "", true},
		{"goes on", "4", stream(5, 6), stream(5, 6), false},
		{"begins again", "4", stream(1, 6), "", true},
		{"without numbers", "", "data: a\n\ndata: b\n\n", "data: a\n\ndata: b\n\n", false},
		{"with carriage returns", "", "id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := events.New(c.after).Add([]byte(c.in))
			assert.Equal(t, string(got), c.out)
			assert.Equal(t, track.IsKind(err, events.OutOfOrder), c.fails, "%v", err)
		})
	}
}

func TestAnEventHasABound(t *testing.T) {
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
		assert.Assert(t, bytes.HasPrefix(data, out), "what is relayed is what came")
	})
}
