package blame_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track"
	"filberttrack.example/track/blame"
)

var crasher = blame.Of([]byte("POST"), []byte("/notes/1"))

// yard is a book beside a list of replicas that die when they are told to.
type yard struct {
	clock *clockwork.FakeClock
	book  *blame.Book
	list  []track.Replica
}

func newYard(replicas int) *yard {
	y := &yard{clock: clockwork.NewFakeClock()}
	y.book = blame.New(y.clock, zap.NewNop())
	for i := range replicas {
		y.list = append(y.list, track.Replica{ID: track.ReplicaID(fmt.Sprint("llm-", i)), Born: 1})
	}
	y.book.Listed(y.list)
	return y
}

// restart has a replica start anew, and the list tell of it.
func (y *yard) restart(i int) {
	y.list[i].Born++
	y.book.Listed(y.list)
}

func TestBarredAfterThreeDeaths(t *testing.T) {
	y := newYard(4)
	for i := range 3 {
		assert.Equal(t, y.book.Barred(crasher), time.Duration(0), "after %d deaths", i)
		y.book.Broke(crasher, y.list[i])
		y.clock.Advance(time.Second)
		y.restart(i)
	}
	assert.Equal(t, y.book.Barred(crasher), 10*time.Minute)
	assert.Equal(t, y.book.Barred(blame.Of([]byte("GET"), []byte("/notes/1"))), time.Duration(0))
	y.clock.Advance(10 * time.Minute)
	assert.Equal(t, y.book.Barred(crasher), time.Duration(0), "forgotten")
}

func TestALostAnswerIsNoDeath(t *testing.T) {
	y := newYard(8)
	for i := range 8 {
		y.book.Broke(crasher, y.list[i])
		y.book.Listed(y.list)
	}
	// Those that end long after the attempt end for another reason.
	y.clock.Advance(6 * time.Second)
	for i := range 8 {
		y.restart(i)
	}
	assert.Equal(t, y.book.Barred(crasher), time.Duration(0))
}

func TestADeathKnownBeforeTheAttemptEnds(t *testing.T) {
	y := newYard(3)
	for i := range 3 {
		old := y.list[i]
		y.restart(i)
		y.book.Broke(crasher, old)
		y.book.Broke(crasher, old)
	}
	assert.Assert(t, y.book.Barred(crasher) > 0)
}

func TestAServedRunClears(t *testing.T) {
	y, other := newYard(3), newYard(3)
	for i := range 3 {
		y.book.Broke(crasher, y.list[i])
		y.restart(i)
	}
	other.book.Merge(y.book.Tell())
	assert.Assert(t, other.book.Barred(crasher) > 0, "a peer is told")
	y.book.Served(crasher)
	assert.Equal(t, y.book.Barred(crasher), time.Duration(0))
	y.book.Merge(other.book.Tell())
	assert.Equal(t, y.book.Barred(crasher), time.Duration(0), "an older charge doesn't come back")
	other.book.Merge(y.book.Tell())
	assert.Equal(t, other.book.Barred(crasher), time.Duration(0), "the peer hears of it")
}

// TestDeathsAreCountedOnce has entries tell each other of the same deaths in any
// order, and checks that nobody counts one twice.
func TestDeathsAreCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		yards := []*yard{newYard(4), newYard(4), newYard(4)}
		died := map[int]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"die": func(t *rapid.T) {
				i := rapid.IntRange(0, 3).Draw(t, "replica")
				if died[i] {
					t.Skip("died already")
				}
				died[i] = true
				for _, y := range yards {
					y.book.Broke(crasher, y.list[i])
					y.restart(i)
				}
			},
			"tell": func(t *rapid.T) {
				from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
				yards[to].book.Merge(yards[from].book.Tell())
			},
			"": func(t *rapid.T) {
				for _, y := range yards {
					assert.Equal(t, y.book.Barred(crasher) > 0, len(died) >= 3)
				}
			},
		})
	})
}

func Example() {
	clock := clockwork.NewFakeClock()
	book := blame.New(clock, zap.NewNop())
	request := blame.Of([]byte("POST"), []byte("/draft"), []byte("body"))
	for i := range 3 {
		replica := track.Replica{ID: track.ReplicaID(fmt.Sprint("llm-", i)), Born: 1}
		book.Listed([]track.Replica{replica})
		book.Broke(request, replica)
		book.Listed(nil)
	}
	fmt.Println(book.Barred(request))
	// Output: 10m0s
}
