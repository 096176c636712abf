package operator

import (
	"context"
	"fmt"
	"io"

	sd "sapphiredrum.example/sapphiredrum"
	"sapphiredrum.example/sapphiredrum/follower"
	"sapphiredrum.example/sapphiredrum/loader"
)

// Errors of this package.
var (
	namespace = sd.Errors.NewSubNamespace("operator")
	// BadSheet marks a sheet with faults; they were printed.
	BadSheet = namespace.NewType("bad_sheet")
	// BadName marks a name that is not in the sheet, or is there already.
	BadName = namespace.NewType("bad_name")
)

// Desk carries out operators' commands against the platform.
type Desk struct {
	Committer *follower.Committer
	// Author names the operator in every change.
	Author string
	Output io.Writer
}

// Check reads a sheet and prints each fault on a line of its own.
func (d *Desk) Check(name, text string) (sd.Config, error) {
	sheet, faults := loader.Sheet(text)
	for _, f := range faults {
		fmt.Fprintf(d.Output, "%s: %s\n", name, f)
	}
	if len(faults) > 0 {
		return sheet, BadSheet.New("%s has %d faults", name, len(faults))
	}
	return sheet, nil
}

// Diff prints what applying a sheet would change; nothing where it is in force.
func (d *Desk) Diff(ctx context.Context, name, text string) error {
	sheet, err := d.Check(name, text)
	if err != nil {
		return err
	}
	head, current, err := d.Committer.Head(ctx)
	if err != nil {
		return err
	}
	changes := loader.Diff(current, sheet)
	for _, c := range changes {
		fmt.Fprintln(d.Output, c)
	}
	if len(changes) > 0 {
		fmt.Fprintf(d.Output, "%d changes to revision %d\n", len(changes), head.Revision)
	}
	return nil
}

// Apply commits a sheet as one revision. Basis is the revision that it was
// compared with; negative means the one in force now.
func (d *Desk) Apply(ctx context.Context, name, text string, basis int64, note string) error {
	sheet, err := d.Check(name, text)
	if err != nil {
		return err
	}
	head, current, err := d.Committer.Head(ctx)
	if err != nil {
		return err
	}
	if basis < 0 {
		basis = int64(head.Revision)
	}
	if sd.Revision(basis) == head.Revision && len(loader.Diff(current, sheet)) == 0 {
		fmt.Fprintf(d.Output, "nothing to change: revision %d is the same\n", head.Revision)
		return nil
	}
	if err := keepsWithdrawals(current, sheet); err != nil {
		return err
	}
	change, err := d.Committer.Commit(ctx, sd.Revision(basis), sheet, d.Author, note)
	if err != nil {
		return err
	}
	d.accepted(change)
	return nil
}

// keepsWithdrawals refuses a sheet that makes a withdrawn key valid again, as an
// export from before the withdrawal would.
func keepsWithdrawals(current, next sd.Config) error {
	withdrawn := make(map[string]sd.KeyID)
	for _, k := range current.Keys {
		if k.Revoked {
			withdrawn[k.Digest] = k.ID
		}
	}
	for _, k := range next.Keys {
		if id, found := withdrawn[k.Digest]; found && !k.Revoked {
			return BadSheet.New("the sheet makes key %s valid again, which was withdrawn; issue a new key instead", id)
		}
	}
	return nil
}

// Show prints the sheet in force.
func (d *Desk) Show(ctx context.Context) error {
	head, sheet, err := d.Committer.Head(ctx)
	if err != nil {
		return err
	}
	fmt.Fprintf(d.Output, "; revision %d by %s at %s: %s\n", head.Revision, head.Author, head.Date.Time().Format(dateFormat), head.Note)
	fmt.Fprint(d.Output, loader.Write(sheet))
	return nil
}

// Zone takes an availability zone out from the given date on, or back in.
func (d *Desk) Zone(ctx context.Context, name sd.ZoneName, out bool, from sd.WallTime) error {
	note := "zone " + string(name) + " in"
	if out {
		note = "zone " + string(name) + " out"
	}
	change, err := d.Committer.Update(ctx, d.Author, note, func(sheet *sd.Config) error {
		for i := range sheet.Zones {
			if sheet.Zones[i].Name == name {
				sheet.Zones[i].Drained, sheet.Zones[i].DrainedFrom = out, from
				return nil
			}
		}
		return BadName.New("the sheet has no zone %q", string(name))
	})
	if err != nil {
		return err
	}
	d.accepted(change)
	return nil
}

// Issue adds a key for a workspace and prints its secret, once.
func (d *Desk) Issue(ctx context.Context, workspace sd.WorkspaceID, id sd.KeyID) error {
	if !sd.ValidName(string(id)) {
		return BadName.New("key name %q is not 1 to 64 of a-z, 0-9, '-' and '_'", string(id))
	}
	secret := "sd-" + sd.RandomID()
	change, err := d.Committer.Update(ctx, d.Author, "key "+string(id)+" issued", func(sheet *sd.Config) error {
		if _, found := sheet.Workspace(workspace); !found {
			return BadName.New("the sheet has no workspace %q", string(workspace))
		}
		for _, k := range sheet.Keys {
			if k.ID == id {
				return BadName.New("the sheet has a key %q already", string(id))
			}
		}
		sheet.Keys = append(sheet.Keys, sd.APIKey{ID: id, Workspace: workspace, Digest: follower.Digest(secret)})
		return nil
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(d.Output, "key %s of workspace %s: %s\n", id, workspace, secret)
	d.accepted(change)
	return nil
}

// Withdraw withdraws a key.
func (d *Desk) Withdraw(ctx context.Context, id sd.KeyID) error {
	change, err := d.Committer.Update(ctx, d.Author, "key "+string(id)+" withdrawn", func(sheet *sd.Config) error {
		for i := range sheet.Keys {
			if sheet.Keys[i].ID == id {
				sheet.Keys[i].Revoked = true
				return nil
			}
		}
		return BadName.New("the sheet has no key %q", string(id))
	})
	if err != nil {
		return err
	}
	d.accepted(change)
	return nil
}

// accepted prints an accepted change.
func (d *Desk) accepted(change follower.Change) {
	fmt.Fprintf(d.Output, "revision %d accepted: %s\n", change.Revision, change.Note)
}

const dateFormat = "2006-01-02 15:04:05Z"
