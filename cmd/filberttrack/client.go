package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"filberttrack.example/track/edits"
)

// send sends a value to an operators' listener and decodes the answer.
func send[T, U any](ctx context.Context, address, path, token string, value T) (U, error) {
	var answer U
	body, err := json.Marshal(value)
	if err != nil {
		return answer, fmt.Errorf("encode request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return answer, fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, fmt.Errorf("ask %s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, answerError(address, response)
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return answer, fmt.Errorf("decode answer of %s: %w", address, err)
	}
	return answer, nil
}

// withQuery returns a path with query parameters, given as names and values.
func withQuery(path string, pairs ...string) string {
	query := url.Values{}
	for i := 0; i+1 < len(pairs); i += 2 {
		query.Set(pairs[i], pairs[i+1])
	}
	return path + "?" + query.Encode()
}

// adminToken returns the token for calls that change something.
func adminToken(c *cli.Command) (string, error) {
	file := c.String("token-file")
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("read token file: %w", err)
	}
	return strings.TrimSpace(string(data)), nil
}

// publish sends a publication to the instance that the flags name.
func publish(ctx context.Context, c *cli.Command, p edits.PublishRequest) (edits.PublishResult, error) {
	token, err := adminToken(c)
	if err != nil {
		return edits.PublishResult{}, err
	}
	return send[edits.PublishRequest, edits.PublishResult](ctx, c.String("admin"), edits.ChangesPath, token, p)
}
