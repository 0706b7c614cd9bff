package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"filberttrack.example/track"
	"filberttrack.example/track/admin"
)

// callTimeout is the timeout of one call of callAdmin.
const callTimeout = 30 * time.Second

// adminFlags returns the flags for the admin listener that a command calls and for its output
// format.
func adminFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:    "admin",
			Usage:   "admin `ADDRESS` of an instance",
			Value:   "127.0.0.1:8081",
			Sources: cli.EnvVars("FILBERTTRACK_ADMIN"),
		},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}
}

// statusCommand returns the command that prints the status of an instance.
func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the status of an instance",
		Flags: adminFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			status, err := getJSON[track.Status](ctx, c.String("admin"), "/status")
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return printJSON(os.Stdout, status)
			}
			return printStatus(os.Stdout, status)
		},
	}
}

// getJSON fetches a JSON value from the admin listener at the address.
func getJSON[T any](ctx context.Context, address, path string) (T, error) {
	return callAdmin[T](ctx, http.MethodGet, address, path)
}

// callAdmin sends a request without a body to the admin listener at the address and decodes the
// JSON response.
func callAdmin[T any](ctx context.Context, method, address, path string) (T, error) {
	var value T
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return value, fmt.Errorf("build request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return value, fmt.Errorf("call %s: %w", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return value, responseError(address, response)
	}
	err = json.NewDecoder(response.Body).Decode(&value)
	if err != nil {
		return value, fmt.Errorf("decode response of %s: %w", address, err)
	}
	return value, nil
}

// responseError returns the failure that the admin listener reported.
func responseError(address string, response *http.Response) error {
	if response.StatusCode == http.StatusUnauthorized {
		return fmt.Errorf("%s: the admin token is missing or wrong; see --token-file", address)
	}
	var failure admin.ErrorResponse
	err := json.NewDecoder(response.Body).Decode(&failure)
	if err != nil {
		return fmt.Errorf("%s responded with status %d", address, response.StatusCode)
	}
	return fmt.Errorf("%s: %s: %s", address, failure.Code, failure.Message)
}

func printJSON[T any](w io.Writer, value T) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func printStatus(w io.Writer, s track.Status) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "Instance\t%s\n", s.Instance.ID)
	fmt.Fprintf(t, "Role\t%s\n", s.Instance.Role)
	fmt.Fprintf(t, "Availability zone\t%s\n", s.Instance.Zone)
	fmt.Fprintf(t, "Started\t%s\n", s.Started.Format(time.RFC3339))
	fmt.Fprintf(t, "Ready\t%t\n", s.Ready)
	fmt.Fprintf(t, "Config version\t%d\n", s.ConfigVersion)
	fmt.Fprintf(t, "Config age\t%s\n", formatAge(s.ConfigAge))
	if s.LogFault != "" {
		fmt.Fprintf(t, "Log\tunavailable: %s\n", s.LogFault)
	}
	fmt.Fprintf(t, "Open requests\t%d\n", s.OpenRequests)
	printMembership(t, s)
	if len(s.Servers) > 0 {
		fmt.Fprintln(t, "\nAGENT\tZONE\tTARGET\tRUNNING\tCAPACITY")
	}
	for _, server := range s.Servers {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\n",
			server.Agent, server.Zone, server.Target, server.Load.Running, server.Load.Capacity)
	}
	return t.Flush()
}

// printMembership prints the state of other zones and instances as the instance sees it.
func printMembership(w io.Writer, s track.Status) {
	if s.ListAge >= 0 {
		fmt.Fprintf(w, "Instance list read\t%s ago\n", s.ListAge.Round(time.Second))
	} else {
		fmt.Fprintln(w, "Instance list read\tnever")
	}
	if s.Isolated {
		fmt.Fprintln(w, "Isolated\tno other availability zone can be reached")
	}
	if len(s.Zones) > 0 {
		fmt.Fprintln(w, "\nZONE\tSTATE\tLAST HEARD")
	}
	for _, zone := range s.Zones {
		fmt.Fprintf(w, "%s\t%s\t%s ago\n", zone.Zone, zone.State, zone.Silence.Round(time.Second))
	}
	if len(s.Peers) > 0 {
		fmt.Fprintln(w, "\nINSTANCE\tROLE\tSTATE\tLAST HEARD")
	}
	for _, peer := range s.Peers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s ago\n", peer.ID, peer.Role, peer.State, peer.Silence.Round(time.Second))
	}
}
