package track

import "fmt"

// Outcome says what is known about the execution of a request.
type Outcome int

// The outcomes of a request. The zero value is Unknown, so that a missing
// assignment never claims more than is known.
const (
	// Unknown means that the request may or may not have run, or may still run.
	Unknown Outcome = iota
	// Completed means that the request ran and that its whole response is present.
	Completed
	// NotRun means that no backend server started the request and none ever will.
	NotRun
)

var outcomeNames = [...]string{Unknown: "Unknown", Completed: "Completed", NotRun: "NotRun"}

// String returns the name of the outcome in headers, logs and records.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return fmt.Sprintf("Outcome(%d)", int(o))
	}
	return outcomeNames[o]
}

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) {
	return []byte(o.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Outcome) UnmarshalText(text []byte) error {
	for i, name := range outcomeNames {
		if name == string(text) {
			*o = Outcome(i)
			return nil
		}
	}
	return fmt.Errorf("unknown outcome %q", text)
}
