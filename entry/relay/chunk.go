package relay

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"filberttrack.example/track/entry/flow"
)

// chunk holds the fields that an entry reads of one chunk of a streamed chat
// completion.
type chunk struct {
	Choices           json.RawMessage `json:"choices"`
	Usage             json.RawMessage `json:"usage"`
	SystemFingerprint string          `json:"system_fingerprint"`
}

// lacksChoices reports whether the list of choices is missing, null or empty.
func (c chunk) lacksChoices() bool {
	trimmed := bytes.TrimSpace(c.Choices)
	return len(trimmed) == 0 || bytes.Equal(trimmed, []byte("[]")) || bytes.Equal(trimmed, []byte("null"))
}

// hasUsage reports whether the chunk contains token counts.
func (c chunk) hasUsage() bool {
	trimmed := bytes.TrimSpace(c.Usage)
	return len(trimmed) > 0 && !bytes.Equal(trimmed, []byte("null"))
}

// forEachChunk decodes the chunks of a data frame, one on each line, and calls
// handle for each until one fails.
func forEachChunk(data []byte, handle func(chunk) error) error {
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

// metadata holds the fields that must be the same in all chunks of one
// response, also if several replicas generated it.
type metadata struct {
	id      string
	model   string
	created time.Time
}

func newMetadata(x *flow.Exchange) metadata {
	return metadata{id: "chatcmpl-" + string(x.Call.ID), model: x.Call.Target, created: x.Call.Arrived}
}
