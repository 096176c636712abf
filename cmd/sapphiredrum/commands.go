package main

import (
	"context"
	"os"
	"os/user"
	"runtime"
	"time"

	"github.com/integrii/flaggy"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/connector"
	"sapphiredrum.example/sapphiredrum/estimator"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/measurer"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/operator"
	"sapphiredrum.example/sapphiredrum/profiler"
)

// badUsage marks a command line or settings that cannot be used.
var badUsage = sd.Errors.NewSubNamespace("command").NewType("bad_usage")

// commands are the parsed command line.
type commands struct {
	parser *flaggy.Parser

	host, entry, explain, programs, check, diff, apply, show, zone, key, status, report *flaggy.Subcommand
	zoneOut, zoneIn, keyIssue, keyWithdraw                                              *flaggy.Subcommand
	try, measure, slopes                                                                *flaggy.Subcommand

	config   string
	platform string
	sheet    string
	author   string
	note     string
	basis    int
	from     string
	name     string
	second   string
	format   string
	files    []string
	asCSV    bool
	profile  profiler.Settings
	// span and objective are in the units of the command line, seconds and milliseconds.
	span      float64
	objective int
	stay      bool
	seeds     int
}

// newCommands returns the command line's parser.
func newCommands() *commands {
	c := &commands{parser: flaggy.NewParser("sapphiredrum"), basis: -1, seeds: 5, format: "table", platform: "127.0.0.1:7000"}
	c.parser.Description = "Schedules agent programs between callers and targets."
	c.parser.Version = "0.1"
	c.hostCommands()
	c.sheetCommands()
	c.zoneAndKeyCommands()
	c.trialCommands()
	return c
}

// add attaches a subcommand.
func (c *commands) add(name, description string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	c.parser.AttachSubcommand(s, 1)
	return s
}

// hostCommands declares the commands that run or ask hosts.
func (c *commands) hostCommands() {
	c.host = c.add("host", "Runs an entry host until SIGTERM, which drains it.")
	c.host.String(&c.config, "c", "config", "the host's settings, an INI file")
	c.entry = c.add("entry", "Runs an entry host on the users' platform until SIGTERM, which drains it.")
	c.entry.String(&c.config, "c", "config", "the host's settings, as deploy/entry.ini lays them out")
	c.explain = c.add("explain", "Tells the story of one request or program from the logs of several hosts.")
	c.explain.AddPositionalValue(&c.name, "ID", 1, true, "the request's or the program's id")
	c.explain.StringSlice(&c.files, "f", "file", "a host's log; repeat for each host")
	c.programs = c.add("programs", "Tells from hosts' logs how programs ended and where their time went.")
	c.programs.StringSlice(&c.files, "f", "file", "a host's log; repeat for each host")
	c.programs.Bool(&c.asCSV, "", "csv", "print comma-separated values, times in ms")
	c.programs.Float64(&c.span, "", "span", "length in seconds of the spans of the day; chosen by the length of the logs if not given")
	c.programs.Float64(&c.profile.Factor, "", "factor", "assume that programs without left_ms have this many times their calm time")
	c.programs.Int(&c.objective, "", "objective", "milliseconds that --factor adds")
	c.status = c.add("status", "Asks every registered host how it is.")
	c.withPlatform(c.status)
	c.report = c.add("report", "Prints the service-level burn of all hosts that answer.")
	c.withPlatform(c.report)
	c.report.String(&c.format, "f", "format", "table, json or html")
}

// trialCommands declares the commands that need no platform.
func (c *commands) trialCommands() {
	c.try = c.add("try", "Runs a host, a platform and targets in this process and drives a program through them.")
	c.try.Bool(&c.stay, "s", "stay", "serve on afterwards and print the requests to use")
	c.measure = c.add("measure", "Prints the tables of docs/MEASURES.md from the seeded workload.")
	c.measure.Int(&c.seeds, "", "seeds", "how many seeds")
	c.slopes = c.add("slopes", "Measures what each duty costs and carries it to the size designed for.")
}

// sheetCommands declares the commands about sheets.
func (c *commands) sheetCommands() {
	c.check = c.add("check", "Names every fault of a sheet.")
	c.diff = c.add("diff", "Prints what applying a sheet would change; nothing where it is in force.")
	c.apply = c.add("apply", "Commits a sheet as one revision.")
	c.show = c.add("show", "Prints the sheet in force.")
	for _, s := range []*flaggy.Subcommand{c.check, c.diff, c.apply} {
		s.AddPositionalValue(&c.sheet, "SHEET", 1, true, "the sheet, an INI file")
	}
	for _, s := range []*flaggy.Subcommand{c.diff, c.apply, c.show} {
		c.withPlatform(s)
	}
	c.apply.Int(&c.basis, "b", "basis", "the revision that the sheet was compared with; the one in force if not given")
	c.withAuthor(c.apply)
}

// zoneAndKeyCommands declares the commands that change one thing.
func (c *commands) zoneAndKeyCommands() {
	c.zone = c.add("zone", "Takes an availability zone out or brings it back.")
	c.key = c.add("key", "Issues or withdraws a key.")
	c.zoneOut = c.under(c.zone, "out", "The zone receives no new work.", "ZONE")
	c.zoneOut.String(&c.from, "", "from", "from when on, as 2006-01-02T15:04:05Z; at once if not given")
	c.zoneIn = c.under(c.zone, "in", "The zone receives work again.", "ZONE")
	c.keyIssue = c.under(c.key, "issue", "Issues a key and prints its secret, once.", "WORKSPACE")
	c.keyIssue.AddPositionalValue(&c.second, "NAME", 2, true, "the new key's name")
	c.keyWithdraw = c.under(c.key, "withdraw", "Withdraws a key, also under open streams.", "NAME")
}

// under attaches a subcommand with one name to another.
func (c *commands) under(parent *flaggy.Subcommand, name, description, value string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	parent.AttachSubcommand(s, 1)
	s.AddPositionalValue(&c.name, value, 1, true, "its name")
	c.withPlatform(s)
	c.withAuthor(s)
	return s
}

// withPlatform adds the flag that names the platform.
func (c *commands) withPlatform(s *flaggy.Subcommand) {
	s.String(&c.platform, "p", "platform", "IP number and port of the platform")
}

// withAuthor adds the flags that describe a change.
func (c *commands) withAuthor(s *flaggy.Subcommand) {
	s.String(&c.author, "a", "author", "who makes the change")
	s.String(&c.note, "n", "note", "what the change is for")
}

// run carries out the command that was named.
func (c *commands) run(ctx context.Context) error {
	switch {
	case c.host.Used:
		return runHost(ctx, c.config)
	case c.entry.Used:
		return runEntry(ctx, c.config)
	case c.explain.Used:
		return runExplain(c.name, c.files)
	case c.programs.Used:
		c.profile.Span, c.profile.Objective = sd.Millis(c.span*float64(sd.Second)), sd.Millis(c.objective)
		return runPrograms(c.profile, c.asCSV, c.files)
	case c.try.Used:
		return runTry(ctx, c.stay, os.Stdout)
	case c.measure.Used:
		return measurer.Report(ctx, os.Stdout, c.seeds, runtime.NumCPU())
	case c.slopes.Used:
		return estimator.Write(os.Stdout)
	case c.check.Used, c.diff.Used, c.apply.Used:
		return c.runSheet(ctx)
	case c.zoneOut.Used, c.zoneIn.Used:
		return c.runZone(ctx)
	}
	return c.runRest(ctx)
}

// runRest carries out the commands without a group of their own.
func (c *commands) runRest(ctx context.Context) error {
	pool := connector.NewPool(connector.Options{})
	defer pool.Close()
	desk := c.desk(pool)
	client := messenger.NewClient(nil)
	defer client.Close()
	switch {
	case c.show.Used:
		return desk.Show(ctx)
	case c.status.Used:
		return desk.Status(ctx, client)
	case c.report.Used:
		return desk.Report(ctx, client, c.format)
	case c.keyIssue.Used:
		return desk.Issue(ctx, sd.WorkspaceID(c.name), sd.KeyID(c.second))
	case c.keyWithdraw.Used:
		return desk.Withdraw(ctx, sd.KeyID(c.name))
	}
	c.parser.ShowHelp()
	return badUsage.New("name a command")
}

// runSheet carries out a command about a sheet.
func (c *commands) runSheet(ctx context.Context) error {
	text, err := os.ReadFile(c.sheet)
	if err != nil {
		return badUsage.Wrap(err, "the sheet cannot be read")
	}
	pool := connector.NewPool(connector.Options{})
	defer pool.Close()
	desk := c.desk(pool)
	switch {
	case c.diff.Used:
		return desk.Diff(ctx, c.sheet, string(text))
	case c.apply.Used:
		return desk.Apply(ctx, c.sheet, string(text), int64(c.basis), c.note)
	}
	_, err = desk.Check(c.sheet, string(text))
	return err
}

// runZone carries out a zone command.
func (c *commands) runZone(ctx context.Context) error {
	pool := connector.NewPool(connector.Options{})
	defer pool.Close()
	from := sd.WallTime(0)
	if c.from != "" {
		date, err := time.Parse(time.RFC3339, c.from)
		if err != nil {
			return badUsage.Wrap(err, "--from is not of the form 2006-01-02T15:04:05Z")
		}
		from = sd.WallTime(date.UnixMilli())
	}
	return c.desk(pool).Zone(ctx, sd.ZoneName(c.name), c.zoneOut.Used, from)
}

// desk returns what carries out operators' commands.
func (c *commands) desk(pool *connector.Pool) *operator.Desk {
	platform := &connector.Platform{Pool: pool, Address: sd.Address(c.platform), Timeout: platformTimeout}
	if c.author == "" {
		c.author = login()
	}
	return &operator.Desk{
		Committer: &follower.Committer{Table: platform, Objects: platform, Clock: sd.NewClock()},
		Author:    c.author, Output: os.Stdout,
	}
}

// login returns the name of the person at the command line.
func login() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}

const platformTimeout = 5 * sd.Second
