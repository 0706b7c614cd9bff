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
	opAppendLog = "append to log"
	opReadLog   = "read log"
)

var errRecordCount = fmt.Errorf("number of records must be between 1 and %d", MaxRecords)

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

func (l *Log) recordsURL(stream string) *url.URL {
	return l.base.JoinPath("streams", url.PathEscape(stream), "records")
}

// Append implements track.Log.
func (l *Log) Append(ctx context.Context, stream string, data [][]byte) (uint64, error) {
	if len(data) == 0 || len(data) > MaxRecords {
		return 0, track.Fail(opAppendLog, track.Invalid, errRecordCount)
	}
	size := 0
	for _, record := range data {
		size += len(record)
	}
	if size > MaxRecordBytes {
		return 0, track.Fail(opAppendLog, track.Invalid, errTooLarge)
	}
	body, err := json.Marshal(AppendRequest{Data: data})
	if err != nil {
		return 0, track.Fail(opAppendLog, track.Invalid, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.recordsURL(stream).String(), bytes.NewReader(body))
	if err != nil {
		return 0, track.Fail(opAppendLog, track.Invalid, err)
	}
	req.Header.Set("Content-Type", "application/json")
	response, err := call[AppendResponse](ctx, l.client, opAppendLog, track.Ambiguous, req)
	return response.Offset, err
}

// Read implements track.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int) (track.Page, error) {
	pageURL := l.recordsURL(stream)
	pageURL.RawQuery = url.Values{
		"From":  {strconv.FormatUint(from, 10)},
		"Limit": {strconv.Itoa(limit)},
	}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, pageURL.String(), nil)
	if err != nil {
		return track.Page{}, track.Fail(opReadLog, track.Invalid, err)
	}
	return call[track.Page](ctx, l.client, opReadLog, track.Unavailable, req)
}

// NewLogHandler returns a handler that serves a log to the clients of NewLog.
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
		writeError(w, opAppendLog, track.Fail(opAppendLog, track.Invalid, err))
		return
	}
	if len(req.Data) == 0 || len(req.Data) > MaxRecords {
		writeError(w, opAppendLog, track.Fail(opAppendLog, track.Invalid, errRecordCount))
		return
	}
	offset, err := h.log.Append(r.Context(), r.PathValue("stream"), req.Data)
	writeResult(w, opAppendLog, AppendResponse{Offset: offset}, err)
}

func (h *logHandler) read(w http.ResponseWriter, r *http.Request) {
	from, fromErr := strconv.ParseUint(r.FormValue("From"), 10, 64)
	limit, limitErr := strconv.Atoi(r.FormValue("Limit"))
	if err := errors.Join(fromErr, limitErr); err != nil {
		writeError(w, opReadLog, track.Fail(opReadLog, track.Invalid, err))
		return
	}
	page, err := h.log.Read(r.Context(), r.PathValue("stream"), from, min(limit, MaxRecords))
	page.Records = limitPage(page.Records)
	writeResult(w, opReadLog, page, err)
}

// limitPage returns the longest prefix of the records that fits into MaxPageBytes, but at
// least one record if there is any.
func limitPage(records []track.Record) []track.Record {
	size := 0
	for i, r := range records {
		size += len(r.Data)
		if i > 0 && size > MaxPageBytes {
			return records[:i]
		}
	}
	return records
}
