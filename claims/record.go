package claims

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"filberttrack.example/track"
)

// Bounds on the fields of a record, in bytes.
const (
	MaxKeyBytes  = 255
	MaxNameBytes = 255
)

// RecordKind says what a record of the stream is.
type RecordKind string

// The kinds of record.
const (
	// KindClaim asks for the right to run the work under a key.
	KindClaim RecordKind = "Claim"
	// KindClose ends a claim.
	KindClose RecordKind = "Close"
	// KindMark carries nothing; it shows the log's time in quiet hours.
	KindMark RecordKind = "Mark"
)

// Record is one record of the stream of claims.
type Record struct {
	Kind  RecordKind
	Claim *Claim
	Close *Close
}

// Key names a piece of work that must not be repeated.
type Key struct {
	Account string
	Service string
	// Name is the caller's idempotency key.
	Name string
}

// Claim asks for the right to run the work under a key on one agent.
type Claim struct {
	Key Key
	// BodySHA256 is the hexadecimal SHA-256 of method, path and body.
	BodySHA256  string
	Attempt     track.AttemptID
	Agent       track.InstanceID
	Address     string
	Incarnation track.Incarnation
	Stamp       track.Stamp
}

// CloseReason says why a claim was closed.
type CloseReason string

// The reasons to close a claim.
const (
	// Barred means that the attempt never ran and never will; the key is free.
	Barred CloseReason = "Barred"
	// Forsaken means that the agent can't tell whether the attempt ran.
	Forsaken CloseReason = "Forsaken"
	// Finished means that the attempt ran; the record holds its whole answer.
	Finished CloseReason = "Finished"
)

// MaxResultBytes bounds the body of an answer that is kept in the log.
const MaxResultBytes = 4 << 10

// Result is the whole answer to an attempt.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
}

// Close ends the claim of the key at the offset.
type Close struct {
	Key    Key
	Offset uint64
	Reason CloseReason
	// Result is set if the reason is Finished.
	Result *Result
}

// Ref returns the reference to the claimed attempt.
func (c Claim) Ref() track.AttemptRef {
	return track.AttemptRef{ID: c.Attempt, Agent: c.Agent, Incarnation: c.Incarnation, Stamp: c.Stamp, Keyed: true}
}

// Encode returns the bytes of a record.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, track.Fail("encode record", Invalid, err)
	}
	return data, nil
}

// Decode reads a record and checks its bounds.
func Decode(data []byte) (Record, error) {
	const op = "decode record"
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, track.Fail(op, Invalid, err)
	}
	if err := r.check(); err != nil {
		return Record{}, track.Fail(op, Invalid, err)
	}
	return r, nil
}

func (r Record) check() error {
	switch {
	case r.Kind == KindMark:
		return nil
	case r.Kind == KindClaim && r.Claim != nil:
		return r.Claim.check()
	case r.Kind == KindClose && r.Close != nil:
		return r.Close.check()
	}
	return fmt.Errorf("kind %q without its content", r.Kind)
}

func (c Claim) check() error {
	if err := c.Key.check(); err != nil {
		return err
	}
	if c.Attempt.Request == "" || c.Agent == "" {
		return errors.New("claim without attempt or agent")
	}
	for _, name := range []string{string(c.Attempt.Request), string(c.Agent), c.Address, c.BodySHA256} {
		if len(name) > MaxNameBytes {
			return errors.New("name too long")
		}
	}
	return nil
}

func (c Close) check() error {
	if c.Reason != Barred && c.Reason != Forsaken && c.Reason != Finished {
		return fmt.Errorf("unknown reason %q", c.Reason)
	}
	if (c.Reason == Finished) != (c.Result != nil) {
		return errors.New("result and reason do not match")
	}
	return c.Key.check()
}

func (k Key) check() error {
	switch {
	case k.Name == "" || len(k.Name) > MaxKeyBytes:
		return fmt.Errorf("key of %d bytes", len(k.Name))
	case len(k.Account) > MaxNameBytes || len(k.Service) > MaxNameBytes:
		return errors.New("name too long")
	}
	return nil
}

// Lengths and positions within the text of a UUID.
const (
	uuidLength     = 36
	uuidVersionAt  = 14
	uuidTimeDigits = 12
)

// MintedAt returns the time that a key carries if it is a UUIDv7.
func (k Key) MintedAt() (time.Time, bool) {
	if len(k.Name) != uuidLength || k.Name[uuidVersionAt] != '7' {
		return time.Time{}, false
	}
	var millis int64
	digits := 0
	for i := range uuidLength {
		c := k.Name[i]
		if i == 8 || i == 13 || i == 18 || i == 23 {
			if c != '-' {
				return time.Time{}, false
			}
			continue
		}
		value, ok := hexDigit(c)
		if !ok {
			return time.Time{}, false
		}
		if digits < uuidTimeDigits {
			millis = millis<<4 | value
		}
		digits++
	}
	return time.UnixMilli(millis), true
}

func hexDigit(c byte) (int64, bool) {
	switch {
	case c >= '0' && c <= '9':
		return int64(c - '0'), true
	case c >= 'a' && c <= 'f':
		return int64(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}
