package claims

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"filberttrack.example/track"
)

// Limits on the fields of a record, in bytes.
const (
	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 255
	// MaxNameBytes is the maximum length of any other string in a claim or key.
	MaxNameBytes = 255
)

// RecordKind is the type of a record in the stream of claims.
type RecordKind string

// The kinds of records.
const (
	// KindClaim asks for the right to run the request with a key.
	KindClaim RecordKind = "Claim"
	// KindClose ends a claim.
	KindClose RecordKind = "Close"
	// KindHeartbeat has no content. It lets entries follow log time while there are
	// no claims.
	KindHeartbeat RecordKind = "Mark"
)

// Record is one record of the stream of claims. The log stores it as JSON.
type Record struct {
	Kind RecordKind
	// Claim is set if the kind is KindClaim.
	Claim *Claim
	// Close is set if the kind is KindClose.
	Close *Close
}

// Key identifies a non-idempotent request. An idempotency key is unique only within
// its client account and service.
type Key struct {
	// Account is the name of the client account.
	Account string
	Service string
	// Name is the idempotency key that the client sent.
	Name string
}

// Claim asks for the right to run the request with a key on one agent.
type Claim struct {
	Key Key
	// BodySHA256 is the hexadecimal SHA-256 of method, path, query and body.
	BodySHA256 string
	Attempt    track.AttemptID
	// Agent, Address and Incarnation identify the agent process that is to run the
	// attempt.
	Agent       track.InstanceID
	Address     string
	Incarnation track.Incarnation
	// Stamp is the latest time of the agent that the entry knew when it formed the
	// claim.
	Stamp track.Stamp
}

// CloseReason is the reason for which a claim was closed.
type CloseReason string

// The reasons for which a claim is closed.
const (
	// ReasonBarred means that the attempt never ran and never will. The key can be
	// claimed again.
	ReasonBarred CloseReason = "Barred"
	// ReasonForgotten means that the agent can't tell whether the attempt ran.
	ReasonForgotten CloseReason = "Forsaken"
	// ReasonFinished means that the attempt ran. The record holds its whole answer.
	ReasonFinished CloseReason = "Finished"
)

// MaxResultBodyBytes is the maximum size of the body of an answer that is stored in
// the log, in bytes.
const MaxResultBodyBytes = 4 << 10

// Result is the whole answer to an attempt, as the log stores it.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
}

// Close ends a claim.
type Close struct {
	Key Key
	// Offset is the offset of the claim in the log.
	Offset uint64
	Reason CloseReason
	// Result is set if, and only if, the reason is ReasonFinished.
	Result *Result
}

// Ref returns the reference by which an agent finds the attempt of the claim.
func (c Claim) Ref() track.AttemptRef {
	return track.AttemptRef{ID: c.Attempt, Agent: c.Agent, Incarnation: c.Incarnation, Stamp: c.Stamp, HasClaim: true}
}

// Encode returns the JSON form of a record.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, track.Fail("encode record", Invalid, err)
	}
	return data, nil
}

// Decode parses the JSON form of a record and validates its fields. The error is of
// kind Invalid.
func Decode(data []byte) (Record, error) {
	const op = "decode record"
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, track.Fail(op, Invalid, err)
	}
	if err := r.validate(); err != nil {
		return Record{}, track.Fail(op, Invalid, err)
	}
	return r, nil
}

func (r Record) validate() error {
	switch {
	case r.Kind == KindHeartbeat:
		return nil
	case r.Kind == KindClaim && r.Claim != nil:
		return r.Claim.validate()
	case r.Kind == KindClose && r.Close != nil:
		return r.Close.validate()
	}
	return fmt.Errorf("record of kind %q is unknown or has no content", r.Kind)
}

func (c Claim) validate() error {
	if err := c.Key.validate(); err != nil {
		return err
	}
	if c.Attempt.Request == "" || c.Agent == "" {
		return errors.New("claim has no request ID or no agent")
	}
	for _, text := range []string{string(c.Attempt.Request), string(c.Agent), c.Address, c.BodySHA256} {
		if len(text) > MaxNameBytes {
			return errors.New("claim has a field that is too long")
		}
	}
	return nil
}

func (c Close) validate() error {
	if c.Reason != ReasonBarred && c.Reason != ReasonForgotten && c.Reason != ReasonFinished {
		return fmt.Errorf("unknown close reason %q", c.Reason)
	}
	if (c.Reason == ReasonFinished) != (c.Result != nil) {
		return errors.New("close must have a result if, and only if, its reason is Finished")
	}
	return c.Key.validate()
}

func (k Key) validate() error {
	switch {
	case k.Name == "" || len(k.Name) > MaxKeyBytes:
		return fmt.Errorf("idempotency key has an invalid length of %d bytes", len(k.Name))
	case len(k.Account) > MaxNameBytes || len(k.Service) > MaxNameBytes:
		return errors.New("account or service name is too long")
	}
	return nil
}

// The layout of the text form of a UUIDv7.
const (
	uuidLength       = 36
	uuidVersionIndex = 14
	// uuidTimeDigits is the number of leading hexadecimal digits that hold the
	// creation time, in milliseconds since the Unix epoch.
	uuidTimeDigits = 12
)

// CreationTime returns the timestamp within the key and true if the key is a UUIDv7.
func (k Key) CreationTime() (time.Time, bool) {
	if len(k.Name) != uuidLength || k.Name[uuidVersionIndex] != '7' {
		return time.Time{}, false
	}
	var millis int64
	digits := 0
	for i := range uuidLength {
		char := k.Name[i]
		if i == 8 || i == 13 || i == 18 || i == 23 {
			if char != '-' {
				return time.Time{}, false
			}
			continue
		}
		value, ok := hexDigit(char)
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

// hexDigit returns the value of a hexadecimal digit of either case.
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
