package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"filberttrack.example/track"
)

const (
	opAppend = "append to log"
	opRead   = "read log"
)

var errRecords = fmt.Errorf("number of records must be 1 to %d", MaxRecords)

// Log is a client of the log service. It implements track.Log.
type Log struct {
	client *http.Client
	base   *url.URL
}

var _ track.Log = (*Log)(nil)

// NewLog returns a client of the log service at the base URL.
func NewLog(client *http.Client, base *url.URL) *Log {
	return &Log{client: client, base: base}
}

func (l *Log) records(stream string) *url.URL {
	return l.base.JoinPath("streams", url.PathEscape(stream), "records")
}

// Append implements track.Log.
func (l *Log) Append(ctx context.Context, stream string, data [][]byte) (uint64, error) {
	if len(data) == 0 || len(data) > MaxRecords {
		return 0, track.Fail(opAppend, track.Invalid, errRecords)
	}
	size := 0
	for _, d := range data {
		size += len(d)
	}
	if size > MaxRecordBytes {
		return 0, track.Fail(opAppend, track.Invalid, errTooLarge)
	}
	body, err := json.Marshal(AppendRequest{Data: data})
	if err != nil {
		return 0, track.Fail(opAppend, track.Invalid, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.records(stream).String(), bytes.NewReader(body))
	if err != nil {
		return 0, track.Fail(opAppend, track.Invalid, err)
	}
	req.Header.Set("Content-Type", "application/json")
	answer, err := exchange[AppendAnswer](ctx, l.client, opAppend, track.Ambiguous, req)
	return answer.Offset, err
}

// Read implements track.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int) (track.Page, error) {
	target := l.records(stream)
	target.RawQuery = url.Values{
		"From":  {strconv.FormatUint(from, 10)},
		"Limit": {strconv.Itoa(limit)},
	}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return track.Page{}, track.Fail(opRead, track.Invalid, err)
	}
	return exchange[track.Page](ctx, l.client, opRead, track.Unavailable, req)
}

// NewLogHandler serves a log to clients made by NewLog.
func NewLogHandler(log track.Log) http.Handler {
	h := &logHandler{log: log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", h.append)
	mux.HandleFunc("GET /streams/{stream}/records", h.read)
	return mux
}

type logHandler struct {
	log track.Log
}

func (h *logHandler) append(w http.ResponseWriter, r *http.Request) {
	var req AppendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxRequestBytes)).Decode(&req); err != nil {
		answerError(w, opAppend, track.Fail(opAppend, track.Invalid, err))
		return
	}
	if len(req.Data) == 0 || len(req.Data) > MaxRecords {
		answerError(w, opAppend, track.Fail(opAppend, track.Invalid, errRecords))
		return
	}
	offset, err := h.log.Append(r.Context(), r.PathValue("stream"), req.Data)
	answer(w, opAppend, AppendAnswer{Offset: offset}, err)
}

func (h *logHandler) read(w http.ResponseWriter, r *http.Request) {
	from, fromErr := strconv.ParseUint(r.FormValue("From"), 10, 64)
	limit, limitErr := strconv.Atoi(r.FormValue("Limit"))
	if err := errors.Join(fromErr, limitErr); err != nil {
		answerError(w, opRead, track.Fail(opRead, track.Invalid, err))
		return
	}
	page, err := h.log.Read(r.Context(), r.PathValue("stream"), from, min(limit, MaxRecords))
	page.Records = bounded(page.Records)
	answer(w, opRead, page, err)
}

// bounded returns as many of the first records as fit into a page, and at least
// one.
func bounded(records []track.Record) []track.Record {
	size := 0
	for i, r := range records {
		size += len(r.Data)
		if i > 0 && size > MaxPageBytes {
			return records[:i]
		}
	}
	return records
}
