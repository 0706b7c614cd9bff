package ticket

import (
	"encoding/base64"
	"encoding/binary"
	"math"
	"time"

	"filberttrack.example/track/blame"
)

// reportBytes is the size of an encoded report: the fingerprint, the age and the time until the return, both in
// milliseconds.
const reportBytes = 16

// Report is a ticket in the form that entries send to each other. It holds durations, because clocks differ.
type Report struct {
	ID blame.Fingerprint
	// Age is the time since the client's first attempt.
	Age time.Duration
	// ReturnIn is the time until the client may return; negative if it has passed.
	ReturnIn time.Duration
}

// Reports is the reports in a message. It is encoded as text of 22 bytes a report; as JSON objects they would take
// four times as much of the messages that each entry sends to each other one.
type Reports []Report

// MarshalText implements encoding.TextMarshaler.
func (r Reports) MarshalText() ([]byte, error) {
	data := make([]byte, 0, len(r)*reportBytes)
	for _, report := range r {
		data = binary.BigEndian.AppendUint64(data, uint64(report.ID))
		data = binary.BigEndian.AppendUint32(data, milliseconds(report.Age))
		data = binary.BigEndian.AppendUint32(data, milliseconds(report.ReturnIn))
	}
	return base64.RawStdEncoding.AppendEncode(nil, data), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It ignores what it can't read: without a ticket a request counts
// as a first attempt, but the rest of the message is needed.
func (r *Reports) UnmarshalText(text []byte) error {
	data, err := base64.RawStdEncoding.AppendDecode(nil, text)
	*r = make(Reports, 0, min(len(data)/reportBytes, maxReports))
	for ; err == nil && len(data) >= reportBytes && len(*r) < maxReports; data = data[reportBytes:] {
		*r = append(*r, Report{
			ID:       blame.Fingerprint(binary.BigEndian.Uint64(data)),
			Age:      fromMilliseconds(binary.BigEndian.Uint32(data[8:])),
			ReturnIn: fromMilliseconds(binary.BigEndian.Uint32(data[12:])),
		})
	}
	return nil
}

// milliseconds encodes a duration of at most 24 days as a number in two's complement.
func milliseconds(d time.Duration) uint32 {
	return uint32(int32(min(max(d.Milliseconds(), math.MinInt32), math.MaxInt32)))
}

func fromMilliseconds(n uint32) time.Duration {
	return time.Duration(int32(n)) * time.Millisecond
}
