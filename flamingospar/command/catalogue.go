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
	group := command(a.parser, "catalogue", "Check, apply, show and compare the catalogue.", "flamingospar catalogue check catalogue.toml")
	a.addCatalogueCheck(group)
	a.addCatalogueApply(group)
	a.addCatalogueShow(group)
	a.addCatalogueDiff(group)
	a.addCatalogueHistory(group)
	a.addCatalogueRollback(group)
}

func (a *app) addCatalogueCheck(group *flaggy.Subcommand) {
	file := ""
	sub := command(group, "check", "Check a file and apply nothing.", "flamingospar catalogue check catalogue.toml")
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
	sub := command(group, "apply", "Put a file in force as the next revision.", "flamingospar catalogue apply catalogue.toml --base 12")
	sub.AddPositionalValue(&file, "FILE", 1, true, "TOML file")
	sub.Int64(&base, "", "base", "revision that you saw; refused when it is no longer the last one")
	output := a.outputFlag(sub)
	remote := a.remote(sub)
	a.bind(sub, func(ctx context.Context) error {
		_, data, err := readCatalogue(file)
		if err != nil {
			return err
		}
		change := operator.CatalogueChange{Base: config.Revision(base), Operator: userName(), File: file, TOML: string(data)}
		var answer operator.RevisionAnswer
		if err := remote().Call(ctx, http.MethodPut, pathCatalogue, change, &answer); err != nil {
			return err
		}
		return a.printRevision(output, answer)
	})
}

func (a *app) addCatalogueShow(group *flaggy.Subcommand) {
	sub := command(group, "show", "Print the catalogue in force, as TOML or JSON.", "flamingospar catalogue show > catalogue.toml")
	output := a.outputFlag(sub)
	remote := a.remote(sub)
	a.bind(sub, func(ctx context.Context) error {
		answer, err := inForce(ctx, remote())
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
	sub := command(group, "diff", "Show what a file would change.", "flamingospar catalogue diff catalogue.toml")
	sub.AddPositionalValue(&file, "FILE", 1, true, "TOML file")
	output := a.outputFlag(sub)
	remote := a.remote(sub)
	a.bind(sub, func(ctx context.Context) error {
		document, _, err := readCatalogue(file)
		if err != nil {
			return err
		}
		answer, err := inForce(ctx, remote())
		if err != nil {
			return err
		}
		differences := catalogue.Diff(answer.Catalogue, document)
		printed := table{header: []string{"SECTION", "ENTRY", "FIELD", "IN FORCE", "FILE"}}
		for _, d := range differences {
			printed.rows = append(printed.rows, []string{d.Section, d.Entry, d.Field, d.Old, d.New})
		}
		return a.print(output, differences, printed)
	})
}

func (a *app) addCatalogueHistory(group *flaggy.Subcommand) {
	from, limit := int64(1), int64(100)
	sub := command(group, "history", "List accepted changes: who changed what and when.", "flamingospar catalogue history --from 40")
	sub.Int64(&from, "", "from", "first revision")
	sub.Int64(&limit, "", "limit", "most changes to list")
	output := a.outputFlag(sub)
	remote := a.remote(sub)
	a.bind(sub, func(ctx context.Context) error {
		var changes []config.Change
		if err := remote().Call(ctx, http.MethodGet, fmt.Sprintf("/v1/history?from=%d&limit=%d", from, limit), nil, &changes); err != nil {
			return err
		}
		printed := table{header: []string{"REVISION", "TIME", "OPERATOR", "CHANGE"}}
		for _, change := range changes {
			printed.rows = append(printed.rows, []string{
				strconv.FormatInt(int64(change.Revision), 10),
				time.UnixMilli(change.UnixMillis).UTC().Format(time.RFC3339),
				change.Operator,
				describe(change),
			})
		}
		return a.print(output, changes, printed)
	})
}

func (a *app) addCatalogueRollback(group *flaggy.Subcommand) {
	to, base := int64(0), int64(0)
	sub := command(group, "rollback", "Put the catalogue of an earlier revision in force, as the next revision.", "flamingospar catalogue rollback --to 12")
	sub.Int64(&to, "", "to", "revision whose catalogue is wanted")
	sub.Int64(&base, "", "base", "revision that you saw; refused when it is no longer the last one")
	output := a.outputFlag(sub)
	remote := a.remote(sub)
	a.bind(sub, func(ctx context.Context) error {
		if to <= 0 {
			return misuse{fmt.Errorf("--to is missing; remedy: name a revision that the history shows")}
		}
		request := operator.RollbackRequest{Base: config.Revision(base), To: config.Revision(to), Operator: userName()}
		var answer operator.RevisionAnswer
		if err := remote().Call(ctx, http.MethodPost, pathCatalogue+"/rollback", request, &answer); err != nil {
			return err
		}
		return a.printRevision(output, answer)
	})
}

func (a *app) printRevision(output *string, answer operator.RevisionAnswer) error {
	row := []string{strconv.FormatInt(int64(answer.Revision), 10)}
	return a.print(output, answer, table{header: []string{"REVISION"}, rows: [][]string{row}})
}

func readCatalogue(file string) (*catalogue.Document, []byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, misuse{fmt.Errorf("%w; remedy: name a TOML file", err)}
	}
	document, err := catalogue.Parse(file, data)
	return document, data, err
}

func inForce(ctx context.Context, remote *client.Client) (operator.CatalogueAnswer, error) {
	var answer operator.CatalogueAnswer
	err := remote.Call(ctx, http.MethodGet, pathCatalogue, nil, &answer)
	return answer, err
}

func describe(change config.Change) string {
	switch {
	case change.Catalogue != nil:
		return "catalogue"
	case change.IssueKey != nil:
		return "issue " + change.IssueKey.ID + " to " + change.IssueKey.Team
	default:
		return "withdraw " + change.WithdrawKey
	}
}

// userName names the operator where the entry asks for no credential.
func userName() string {
	current, err := user.Current()
	if err != nil {
		return ""
	}
	return current.Username
}
