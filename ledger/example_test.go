package ledger_test

import (
	"fmt"

	"github.com/jonboulle/clockwork"

	"filberttrack.example/track"
	"filberttrack.example/track/ledger"
)

func ExampleLedger_Admit() {
	l := ledger.New("agent-1", 1, clockwork.NewFakeClock(), ledger.Defaults())
	d := track.Dispatch{
		ID: track.AttemptID{Request: "request-1", Number: 1}, Agent: "agent-1", Incarnation: 1, Stamp: l.Stamp(),
	}
	fmt.Println("bar:", l.Bar(d.Ref()))
	result := l.Admit(d, "")
	fmt.Println("late dispatch:", result.Refusal, result.Outcome)
	// Output:
	// bar: Barred
	// late dispatch: Barred NotRun
}
