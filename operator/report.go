package operator

import (
	"context"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/launcher"
	"sapphiredrum.example/sapphiredrum/messenger"
	"sapphiredrum.example/sapphiredrum/reporter"
)

// Report collects what the registered hosts counted and prints the service-level
// burn as "table", "json" or "html". Hosts that do not answer are named in it.
func (d *Desk) Report(ctx context.Context, client *messenger.Client, format string) error {
	_, sheet, err := d.Committer.Head(ctx)
	if err != nil {
		return err
	}
	hosts, err := d.Hosts(ctx)
	if err != nil {
		return err
	}
	var summaries []reporter.Summary
	var unreached []sd.HostID
	for _, h := range hosts {
		attempt, cancel := context.WithTimeout(ctx, statusTimeout.Duration())
		summary, err := messenger.Ask[launcher.SummaryQuestion, reporter.Summary](attempt, client, h.Address, "summary", launcher.SummaryQuestion{})
		cancel()
		if err != nil {
			unreached = append(unreached, h.Host)
			continue
		}
		summaries = append(summaries, summary)
	}
	report := reporter.Compile(d.Committer.Clock.WallNow(), summaries, unreached, sheet.Levels)
	switch format {
	case "json":
		return reporter.WriteJSON(d.Output, report)
	case "html":
		return reporter.WritePage(d.Output, report)
	case "table":
		return reporter.WriteTable(d.Output, report)
	}
	return BadName.New("format %q is none of table, json, html", format)
}
