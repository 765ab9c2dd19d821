// Command silvertrail is a load-balancing gateway. With no arguments and LB_CONFIG set it is the platform's sidecar;
// with a command it is the product.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"silvertrail/internal/base/ratelog"
	"silvertrail/internal/demo"
	"silvertrail/internal/gateway"
	"silvertrail/internal/gateway/conf"
	"silvertrail/internal/platform/process"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "silvertrail:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) == 0 && os.Getenv("LB_CONFIG") != "" {
		return process.Run()
	}
	if len(args) == 0 {
		args = []string{"--help"}
	}
	var commands commands
	parser, err := kong.New(&commands, kong.Name("silvertrail"), kong.Description(description), kong.UsageOnError())
	if err != nil {
		return err
	}
	chosen, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return chosen.Run()
}

const description = `A load-balancing gateway: nothing dropped, nothing done twice, the worthiest served first when there is too
little. With no command and LB_CONFIG set it is the sidecar of the platform, which that file describes.`

type commands struct {
	Serve       serveCommand       `cmd:"" help:"Run a configuration. SIGHUP reads it again, SIGTERM or Ctrl-C ends the work in hand and then the program."`
	Check       checkCommand       `cmd:"" help:"Tell all that is wrong with a configuration, and whether it can be used."`
	Fleet       fleetCommands      `cmd:"" help:"Ask a running instance about its fleet."`
	Link        linkCommands       `cmd:"" help:"Ask a running gateway about its links to other salas, or drain it."`
	Connections connectionCommands `cmd:"" help:"Ask a running instance about its callers' connections."`
	XDS         xdsCommands        `cmd:"" name:"xds" help:"Ask a running instance what its control planes have told it."`
	Control     controlCommands    `cmd:"" help:"Publish clusters and endpoint sets on a control machine, and see who has them."`
	Ledger      ledgerCommands     `cmd:"" help:"Tell what became of keyed requests, also after a crash."`
	Demo        demoCommand        `cmd:"" help:"Run the gateway with stand-in nodos in three salas on loopback, until Ctrl-C."`
}

// gcPercent makes garbage collections rarer than by default: the live heap is small, and each collection raises the 99th percentile. GOGC
// takes precedence.
const gcPercent = 400

type serveCommand struct {
	Config string `required:"" type:"existingfile" placeholder:"FILE" help:"The configuration."`
}

// Run serves until SIGTERM or SIGINT. A second signal ends the process at once.
func (c *serveCommand) Run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	file, err := conf.Load(c.Config)
	if err != nil {
		return configError(err)
	}
	g, err := gateway.Start(file, ratelog.New(os.Stderr), optionalParts()...)
	if err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	reload := make(chan struct{}, 1)
	go func() {
		for range hangup {
			select {
			case reload <- struct{}{}:
			default: // a reload is pending already
			}
		}
	}()
	if at := g.ControlPlane(); at != "" {
		fmt.Printf("control plane on %s\n", at)
	}
	for _, l := range file.Listeners {
		fmt.Printf("listener %s on %s\n", l.Name, g.Addr(l.Name))
	}
	context.AfterFunc(ctx, cancel) // a second signal ends the process
	g.Run(ctx, c.Config, reload)
	return nil
}

type checkCommand struct {
	File string `arg:"" help:"The configuration."`
}

func (c *checkCommand) Run() error {
	file, err := conf.Load(c.File)
	if err != nil {
		return configError(err)
	}
	fmt.Printf("%s can be used: %d listeners, %d classes, %d clusters, %d routes\n", c.File, len(file.Listeners), len(file.Classes),
		len(file.Clusters), file.Routes.Len())
	return nil
}

// configError prints the errors of a file with their lines.
func configError(err error) error {
	var faults *conf.Error
	if errors.As(err, &faults) {
		fmt.Fprint(os.Stderr, faults.Text())
		return fmt.Errorf("%d faults: the configuration can't be used", len(faults.Diagnostics))
	}
	return err
}

type demoCommand struct {
	Listen string `default:"127.0.0.1:8480" help:"Address of the front; port 0 takes a free one."`
	Salas  bool   `help:"Three gateways, one for each sala, that are linked; the first sala loses its nodos."`
}

func (c *demoCommand) Run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	run := demo.Run
	if c.Salas {
		run = demo.RunSites
	}
	return run(ctx, demo.Options{Listen: c.Listen, Out: os.Stdout, Log: ratelog.New(os.Stderr)})
}
