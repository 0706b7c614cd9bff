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

// postJSON posts a value as JSON to the admin listener at the address and decodes the JSON
// response. The token may be empty.
func postJSON[T, U any](ctx context.Context, address, path, token string, value T) (U, error) {
	var result U
	body, err := json.Marshal(value)
	if err != nil {
		return result, fmt.Errorf("encode request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return result, fmt.Errorf("build request: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result, fmt.Errorf("call %s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return result, responseError(address, response)
	}
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return result, fmt.Errorf("decode response of %s: %w", address, err)
	}
	return result, nil
}

// withQuery appends query parameters to a path. Pairs alternates names and values.
func withQuery(path string, pairs ...string) string {
	query := url.Values{}
	for i := 0; i+1 < len(pairs); i += 2 {
		query.Set(pairs[i], pairs[i+1])
	}
	return path + "?" + query.Encode()
}

// adminToken returns the token that authorizes changes, read from the file that --token-file
// names; empty if the flag is not set.
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

// publishChange sends a change to the instance that --admin names.
func publishChange(ctx context.Context, c *cli.Command, p edits.PublishRequest) (edits.PublishResult, error) {
	token, err := adminToken(c)
	if err != nil {
		return edits.PublishResult{}, err
	}
	return postJSON[edits.PublishRequest, edits.PublishResult](ctx, c.String("admin"), edits.ChangesPath, token, p)
}
