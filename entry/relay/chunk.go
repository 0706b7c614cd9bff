package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"filberttrack.example/track/entry/flow"
)

// chunk is one event of a generation, as far as an entry looks at it.
type chunk struct {
	Choices           json.RawMessage `json:"choices"`
	Usage             json.RawMessage `json:"usage"`
	SystemFingerprint string          `json:"system_fingerprint"`
}

// empty reports whether the chunk carries no choices.
func (c chunk) empty() bool {
	trimmed := bytes.TrimSpace(c.Choices)
	return len(trimmed) == 0 || bytes.Equal(trimmed, []byte("[]")) || bytes.Equal(trimmed, []byte("null"))
}

// hasUsage reports whether the chunk carries token counts.
func (c chunk) hasUsage() bool {
	trimmed := bytes.TrimSpace(c.Usage)
	return len(trimmed) > 0 && !bytes.Equal(trimmed, []byte("null"))
}

// eachChunk decodes the chunks of a data frame.
func eachChunk(data []byte, handle func(chunk) error) error {
	for line := range bytes.SplitSeq(data, []byte{'\n'}) {
		if len(line) == 0 {
			continue
		}
		var c chunk
		err := json.Unmarshal(line, &c)
		if err != nil {
			return fmt.Errorf("decode chunk: %w", err)
		}
		err = handle(c)
		if err != nil {
			return err
		}
	}
	return nil
}

// identity holds the fields that are the same in all chunks of one answer,
// whichever replicas produced them.
type identity struct {
	id      string
	model   string
	created time.Time
}

func identityOf(x *flow.Exchange) identity {
	return identity{id: "chatcmpl-" + string(x.Call.ID), model: x.Call.Target, created: x.Call.Arrived}
}
