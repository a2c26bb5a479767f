package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"text/template"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/spf13/cobra"

	"ringstream.example/ringstream/internal/bench/fleet"
	"ringstream.example/ringstream/internal/bench/scenario"
)

// hintsTemplate lists commands that work against the fleet of demo --serve.
var hintsTemplate = template.Must(template.New("hints").Parse(`The fleet is up. Node 0 is at {{.Gateway}} (callers) and {{.Admin}} (operators).

A streamed answer:
  curl -N http://{{.Gateway}}/v1/completions -H 'Authorization: Bearer {{.Key}}' -H 'Content-Type: application/json' -d '{"model":"{{.Model}}","prompt":"engine warning 4711","max_tokens":20,"stream":true}'

A batch job, its state and its results:
  printf '{"custom_id":"a","prompt":"first","max_tokens":20}\n{"custom_id":"b","prompt":"second","max_tokens":20}\n' | curl -sS 'http://{{.Gateway}}/v1/batches?model={{.Model}}&deadline=1h' -H 'Authorization: Bearer {{.Key}}' -H 'Idempotency-Key: try-1' --data-binary @-
  curl -sS http://{{.Gateway}}/v1/batches -H 'Authorization: Bearer {{.Key}}'
  curl -sS http://{{.Gateway}}/v1/batches/JOB-ID/results -H 'Authorization: Bearer {{.Key}}'

The table, the nodes, the metrics:
  curl -sS http://{{.Admin}}/api/v1/rows -H 'Authorization: Bearer {{.OperatorKey}}'
  curl -sS http://{{.Admin}}/api/v1/nodes -H 'Authorization: Bearer {{.OperatorKey}}'
  ringstream row list --server http://{{.Admin}} --key {{.OperatorKey}}
  curl -sS http://{{.Admin}}/metrics

Lose node 0, and use node 1 ({{.Other}}) instead; bring node 0 back:
  curl -X POST http://{{.Control}}/kill/0
  curl -N http://{{.Other}}/v1/completions -H 'Authorization: Bearer {{.Key}}' -H 'Content-Type: application/json' -d '{"model":"{{.Model}}","prompt":"engine warning 4711","max_tokens":20,"stream":true}'
  curl -X POST http://{{.Control}}/start/0

POST /stop/N stops a node as planned. Ctrl-C ends everything.
`))

// serveDemo starts a fleet, prints commands to try and serves the control port
// until the command is interrupted.
func serveDemo(command *cobra.Command, flags demoFlags) error {
	loaded, err := scenario.Load("demo")
	if err != nil {
		return err
	}
	logger, err := benchLogger(flags.logLevel)
	if err != nil {
		return err
	}
	running, err := fleet.Start(command.Context(), loaded, flags.seed, logger)
	if err != nil {
		return err
	}
	defer running.Close()
	if err := writeHints(command.OutOrStdout(), running, loaded, flags.control); err != nil {
		return err
	}
	return serveControl(command.Context(), flags.control, running)
}

func writeHints(out io.Writer, running *fleet.Fleet, loaded scenario.Scenario, control string) error {
	return hintsTemplate.Execute(out, map[string]string{
		"Gateway": running.Gateway(0), "Admin": running.Admin(0), "Other": running.Gateway(1), "Control": control,
		"Model": loaded.Model, "Key": running.Key(loaded.Tenants()[0]), "OperatorKey": fleet.OperatorKey,
	})
}

// serveControl serves requests to kill, stop and start nodes until ctx is done.
func serveControl(ctx context.Context, address string, running *fleet.Fleet) error {
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	nodeHandler := func(action func(node int) error) echo.HandlerFunc {
		return func(c echo.Context) error {
			node, err := strconv.Atoi(c.Param("node"))
			if err != nil || node < 0 || node >= running.Nodes() {
				return c.String(http.StatusNotFound, fmt.Sprintf("nodes are 0 to %d\n", running.Nodes()-1))
			}
			if err := action(node); err != nil {
				return c.String(http.StatusConflict, err.Error()+"\n")
			}
			return c.String(http.StatusOK, "done\n")
		}
	}
	router.POST("/kill/:node", nodeHandler(func(node int) error {
		running.KillNode(node)
		return nil
	}))
	router.POST("/stop/:node", nodeHandler(running.StopNode))
	router.POST("/start/:node", nodeHandler(running.StartNode))
	cancelShutdown := context.AfterFunc(ctx, func() {
		const shutdownTimeout = 5 * time.Second
		shutdownContext, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = router.Shutdown(shutdownContext) // the process exits next, so an error has no consequence
	})
	defer cancelShutdown()
	if err := router.Start(address); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("control port: %w", err)
	}
	return nil
}
