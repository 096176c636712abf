// Command sapphiredrum-standin runs one stand-in of a system outside the
// scheduler, for tests and trials: the platform, a model engine or a plain
// service. It serves until SIGTERM or SIGINT. As load it sends programs to hosts
// and prints a report of what they met as JSON.
//
//	sapphiredrum-standin platform --listen 127.0.0.1:7000
//	sapphiredrum-standin engine --listen 127.0.0.1:7101 --target e1 --model m1 --slots 8 --cold 2
//	sapphiredrum-standin service --listen 127.0.0.1:7201
//	sapphiredrum-standin load --hosts 127.0.0.1:8001,127.0.0.1:8002 --keys K1,K2 --route /v1/chat --tool /book
//
// POST /faults on each sets its faults, GET /counters tells what it did. See
// package faker for what the stand-ins model.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/faker"
)

// failed is the exit status when a stand-in cannot serve.
const failed = 1

// commands are the parsed command line.
type commands struct {
	parser   *flaggy.Parser
	platform *flaggy.Subcommand
	engine   *flaggy.Subcommand
	service  *flaggy.Subcommand
	load     *flaggy.Subcommand
	plan     loadPlan
	listen   string
	settings engineFlags
}

func main() {
	c := newCommands()
	if err := c.parser.ParseArgs(os.Args[1:]); err != nil {
		c.parser.ShowHelpAndExit(err.Error())
	}
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
}

// newCommands returns the command line's parser.
func newCommands() *commands {
	c := &commands{
		parser:   flaggy.NewParser("sapphiredrum-standin"),
		platform: flaggy.NewSubcommand("platform"),
		engine:   flaggy.NewSubcommand("engine"),
		service:  flaggy.NewSubcommand("service"),
		load:     flaggy.NewSubcommand("load"),
		listen:   "127.0.0.1:0",
	}
	c.parser.Description = "Runs a stand-in of the platform, an engine or a service, or sends load to hosts."
	for _, s := range []*flaggy.Subcommand{c.platform, c.engine, c.service} {
		s.String(&c.listen, "l", "listen", "IP number and port to listen on")
		c.parser.AttachSubcommand(s, 1)
	}
	c.settings.attach(c.engine)
	c.plan.attach(c.load)
	c.parser.AttachSubcommand(c.load, 1)
	return c
}

// run serves the stand-in that the command line names.
func (c *commands) run() error {
	clock := sapphiredrum.NewClock()
	switch {
	case c.platform.Used:
		return serve("platform", c.listen, faker.PlatformHandler(faker.NewPlatform(clock)))
	case c.engine.Used:
		return serve("engine", c.listen, faker.EngineHandler(faker.NewEngine(clock, c.settings.engine())))
	case c.service.Used:
		return serve("service", c.listen, faker.ServiceHandler(&faker.Service{}))
	case c.load.Used:
		return load(c.plan, os.Stdout)
	}
	c.parser.ShowHelpAndExit("name a stand-in, platform, engine or service, or load")
	return nil
}
