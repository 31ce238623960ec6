package command

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/user"
	"strconv"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pelletier/go-toml/v2"

	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/config"
	"flamingospar.org/entry/operator"
	"flamingospar.org/flamingospar/client"
)

const pathCatalogue = "/v1/catalogue"

func (a *app) addCatalogue() {
	group := addCommand(a.parser, "catalogue", "Check, apply, show and compare the catalogue.", "flamingospar catalogue check catalogue.toml")
	a.addCatalogueCheck(group)
	a.addCatalogueApply(group)
	a.addCatalogueShow(group)
	a.addCatalogueDiff(group)
	a.addCatalogueHistory(group)
	a.addCatalogueRollback(group)
}

func (a *app) addCatalogueCheck(group *flaggy.Subcommand) {
	file := ""
	sub := addCommand(group, "check", "Check a file without applying it.", "flamingospar catalogue check catalogue.toml")
	sub.AddPositionalValue(&file, "FILE", 1, true, "TOML file")
	a.bind(sub, func(context.Context) error {
		document, _, err := readCatalogue(file)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(a.stdout, "%s: %d teams, %d models, %d services, %d routes: no problems\n", file, len(document.Teams), len(document.Models), len(document.Services), len(document.Routes))
		return err
	})
}

func (a *app) addCatalogueApply(group *flaggy.Subcommand) {
	file, base := "", int64(0)
	sub := addCommand(group, "apply", "Apply a file as the next revision.", "flamingospar catalogue apply catalogue.toml --base 12")
	sub.AddPositionalValue(&file, "FILE", 1, true, "TOML file")
	sub.Int64(&base, "", "base", "expected latest revision; the change is refused if another was accepted since")
	output := a.outputFlag(sub)
	newClient := a.entryClient(sub)
	a.bind(sub, func(ctx context.Context) error {
		_, data, err := readCatalogue(file)
		if err != nil {
			return err
		}
		change := operator.CatalogueChange{Base: config.Revision(base), Operator: userName(), File: file, TOML: string(data)}
		var answer operator.RevisionResponse
		if err := newClient().Call(ctx, http.MethodPut, pathCatalogue, change, &answer); err != nil {
			return err
		}
		return a.printRevision(output, answer)
	})
}

func (a *app) addCatalogueShow(group *flaggy.Subcommand) {
	sub := addCommand(group, "show", "Print the catalogue in force, as TOML or JSON.", "flamingospar catalogue show > catalogue.toml")
	output := a.outputFlag(sub)
	newClient := a.entryClient(sub)
	a.bind(sub, func(ctx context.Context) error {
		answer, err := currentCatalogue(ctx, newClient())
		if err != nil {
			return err
		}
		if *output == outputJSON {
			return a.print(output, answer, table{})
		}
		data, err := toml.Marshal(answer.Catalogue)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(a.stdout, "# Revision %d.\n%s", answer.Revision, data)
		return err
	})
}

func (a *app) addCatalogueDiff(group *flaggy.Subcommand) {
	file := ""
	sub := addCommand(group, "diff", "Show the changes that a file would make.", "flamingospar catalogue diff catalogue.toml")
	sub.AddPositionalValue(&file, "FILE", 1, true, "TOML file")
	output := a.outputFlag(sub)
	newClient := a.entryClient(sub)
	a.bind(sub, func(ctx context.Context) error {
		document, _, err := readCatalogue(file)
		if err != nil {
			return err
		}
		answer, err := currentCatalogue(ctx, newClient())
		if err != nil {
			return err
		}
		differences := catalogue.Diff(answer.Catalogue, document)
		tbl := table{header: []string{"SECTION", "ENTRY", "FIELD", "IN FORCE", "FILE"}}
		for _, d := range differences {
			tbl.rows = append(tbl.rows, []string{d.Section, d.Entry, d.Field, d.Old, d.New})
		}
		return a.print(output, differences, tbl)
	})
}

func (a *app) addCatalogueHistory(group *flaggy.Subcommand) {
	from, limit := int64(1), int64(100)
	sub := addCommand(group, "history", "List accepted changes with operator and time.", "flamingospar catalogue history --from 40")
	sub.Int64(&from, "", "from", "first revision")
	sub.Int64(&limit, "", "limit", "maximum number of changes")
	output := a.outputFlag(sub)
	newClient := a.entryClient(sub)
	a.bind(sub, func(ctx context.Context) error {
		var changes []config.Change
		if err := newClient().Call(ctx, http.MethodGet, fmt.Sprintf("/v1/history?from=%d&limit=%d", from, limit), nil, &changes); err != nil {
			return err
		}
		tbl := table{header: []string{"REVISION", "TIME", "OPERATOR", "CHANGE"}}
		for _, change := range changes {
			tbl.rows = append(tbl.rows, []string{
				strconv.FormatInt(int64(change.Revision), 10),
				time.UnixMilli(change.UnixMillis).UTC().Format(time.RFC3339),
				change.Operator,
				describeChange(change),
			})
		}
		return a.print(output, changes, tbl)
	})
}

func (a *app) addCatalogueRollback(group *flaggy.Subcommand) {
	to, base := int64(0), int64(0)
	sub := addCommand(group, "rollback", "Apply the catalogue of an earlier revision as the next revision.", "flamingospar catalogue rollback --to 12")
	sub.Int64(&to, "", "to", "revision whose catalogue is applied")
	sub.Int64(&base, "", "base", "expected latest revision; the change is refused if another was accepted since")
	output := a.outputFlag(sub)
	newClient := a.entryClient(sub)
	a.bind(sub, func(ctx context.Context) error {
		if to <= 0 {
			return usageError{fmt.Errorf("--to is missing; remedy: give a revision from the history")}
		}
		request := operator.RollbackRequest{Base: config.Revision(base), To: config.Revision(to), Operator: userName()}
		var answer operator.RevisionResponse
		if err := newClient().Call(ctx, http.MethodPost, pathCatalogue+"/rollback", request, &answer); err != nil {
			return err
		}
		return a.printRevision(output, answer)
	})
}

func (a *app) printRevision(output *string, answer operator.RevisionResponse) error {
	row := []string{strconv.FormatInt(int64(answer.Revision), 10)}
	return a.print(output, answer, table{header: []string{"REVISION"}, rows: [][]string{row}})
}

func readCatalogue(file string) (*catalogue.Document, []byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, usageError{fmt.Errorf("%w; remedy: name a TOML file", err)}
	}
	document, err := catalogue.Parse(file, data)
	return document, data, err
}

func currentCatalogue(ctx context.Context, entry *client.Client) (operator.CatalogueResponse, error) {
	var answer operator.CatalogueResponse
	err := entry.Call(ctx, http.MethodGet, pathCatalogue, nil, &answer)
	return answer, err
}

func describeChange(change config.Change) string {
	switch {
	case change.Catalogue != nil:
		return "catalogue"
	case change.IssueKey != nil:
		return "issue " + change.IssueKey.ID + " to " + change.IssueKey.Team
	default:
		return "withdraw " + change.WithdrawKey
	}
}

// userName returns the name of the operating system user. The entry records it
// as the operator when it requires no credentials.
func userName() string {
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}
