package claims_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"filberttrack.example/track"
	"filberttrack.example/track/claims"
)

// An index that missed any number of records must agree with one that has read all
// of them, or return StateRecordsMissed or StateTooOld.
func TestIndexWithMissedRecordsAgreesWithCompleteIndex(t *testing.T) {
	settings := claims.Defaults()
	settings.KeyRetention = 10 * time.Minute
	compared := 0
	rapid.Check(t, func(rt *rapid.T) {
		complete, partial := claims.NewIndex(settings), claims.NewIndex(settings)
		now := time.Unix(1_800_000_000, 0)
		keys := []claims.Key{{Name: "opaque"}, {Name: uuidAt(now, 1)}, {Name: uuidAt(now.Add(8*time.Minute), 2)}}
		for offset := range uint64(rapid.IntRange(10, 60).Draw(rt, "records")) {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 30, 300}).Draw(rt, "wait")) * time.Second)
			key := rapid.SampledFrom(keys).Draw(rt, "key")
			record := claims.Record{Kind: claims.KindClaim, Claim: &claims.Claim{
				Key: key, Agent: "a", Attempt: track.AttemptID{Request: track.RequestID(fmt.Sprint(offset))},
			}}
			if rapid.Bool().Draw(rt, "close") {
				record = claims.Record{Kind: claims.KindClose, Close: &claims.Close{
					Key: key, Offset: complete.Lookup(key).ClaimOffset,
					Reason: rapid.SampledFrom([]claims.CloseReason{
						claims.ReasonBarred, claims.ReasonBarred, claims.ReasonForgotten,
					}).Draw(rt, "reason"),
				}}
				if rapid.IntRange(0, 3).Draw(rt, "finished") == 0 {
					record.Close.Reason, record.Close.Result = claims.ReasonFinished, &claims.Result{Status: 201}
				}
			}
			data, err := claims.Encode(record)
			assert.NilError(rt, err)
			page := track.Page{Records: []track.Record{{Offset: offset, Time: now, Data: data}}, Next: offset + 1}
			complete.Apply(page, now)
			if rapid.IntRange(0, 9).Draw(rt, "missed") == 0 {
				continue
			}
			page.Oldest = offset
			partial.Apply(page, now)
			for _, key := range keys {
				want, got := complete.Lookup(key), partial.Lookup(key)
				switch got.State {
				case claims.StateRecordsMissed:
				case claims.StateTooOld:
					assert.Assert(rt, want.State != claims.StateUnclaimed)
				default:
					compared++
					assert.DeepEqual(rt, got, want)
				}
			}
		}
	})
	assert.Assert(t, compared > 0)
}
