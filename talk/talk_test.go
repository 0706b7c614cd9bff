package talk_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/talk"
)

type echoRequest struct{ Text string }

type echoResponse struct{ Text string }

// startEchoServer serves responses that repeat the request's text, and adds up the bytes
// of the request bodies. It returns its address.
func startEchoServer(t *testing.T, received *int64) string {
	mux := http.NewServeMux()
	talk.Handle(mux, "/echo", func(_ context.Context, req echoRequest) (echoResponse, error) {
		switch req.Text {
		case "":
			return echoResponse{}, track.Fail("echo", track.Refused, errors.New("text is empty"))
		case "gone":
			return echoResponse{}, track.Fail("echo", track.Expired, errors.New("too old"))
		}
		return echoResponse(req), nil
	})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*received += r.ContentLength
		mux.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestCall(t *testing.T) {
	var sent int64
	address := startEchoServer(t, &sent)
	client := talk.NewClient()
	for _, text := range []string{"a", strings.Repeat("[1,2,3,4,5],", 1000), strings.Repeat("\u00e9", 2000)} {
		got, err := talk.Call[echoRequest, echoResponse](t.Context(), client, address, "/echo", echoRequest{Text: text})
		assert.NilError(t, err)
		assert.Equal(t, got.Text, text)
	}
	assert.Assert(t, sent < 1000, "long bodies are compressed: %d bytes", sent)
}

func TestErrorKindsReachTheCaller(t *testing.T) {
	var sent int64
	address := startEchoServer(t, &sent)
	client := talk.NewClient()
	for text, kind := range map[string]track.Kind{"": track.Refused, "gone": track.Expired} {
		_, err := talk.Call[echoRequest, echoResponse](t.Context(), client, address, "/echo", echoRequest{Text: text})
		assert.Assert(t, track.IsKind(err, kind), "%v", err)
	}
	_, err := talk.Call[echoRequest, echoResponse](t.Context(), client, "127.0.0.1:1", "/echo", echoRequest{Text: "a"})
	assert.Assert(t, track.IsKind(err, track.Unavailable), "no listener: %v", err)
	response, err := http.Post("http://"+address+"/echo", "application/json", strings.NewReader("{"))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
}

func FuzzCompressedBody(f *testing.F) {
	f.Add([]byte("not compressed"))
	mux := http.NewServeMux()
	talk.Handle(mux, "/echo", func(_ context.Context, req echoRequest) (echoResponse, error) {
		return echoResponse(req), nil
	})
	f.Fuzz(func(t *testing.T, body []byte) {
		request := httptest.NewRequest(http.MethodPost, "/echo", strings.NewReader(string(body)))
		request.Header.Set("Content-Encoding", "deflate")
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, request)
		assert.Assert(t, recorder.Code == http.StatusOK || recorder.Code == http.StatusBadRequest)
	})
}
