package command

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/integrii/flaggy"

	"flamingospar.org/entry/credentials"
	"flamingospar.org/entry/operator"
)

const pathKeys = "/v1/keys"

func (a *app) addKey() {
	group := addCommand(a.parser, "key", "Issue, withdraw and list callers' keys.", "flamingospar key issue support")
	a.addKeyIssue(group)
	a.addKeyWithdraw(group)
	a.addKeyList(group)
}

func (a *app) addKeyIssue(group *flaggy.Subcommand) {
	team := ""
	sub := addCommand(group, "issue", "Issue a key to a team. The key is shown only once.", "flamingospar key issue support")
	sub.AddPositionalValue(&team, "TEAM", 1, true, "team in the current catalogue")
	output := a.outputFlag(sub)
	newClient := a.entryClient(sub)
	a.bind(sub, func(ctx context.Context) error {
		var answer operator.KeyResponse
		if err := newClient().Call(ctx, http.MethodPost, pathKeys, operator.KeyRequest{Team: team, Operator: userName()}, &answer); err != nil {
			return err
		}
		return a.print(output, answer, table{header: []string{"ID", "TEAM", "KEY"}, rows: [][]string{{answer.ID, answer.Team, answer.Key}}})
	})
}

func (a *app) addKeyWithdraw(group *flaggy.Subcommand) {
	id := ""
	sub := addCommand(group, "withdraw", "Withdraw a key by its ID.", "flamingospar key withdraw key-0b9a")
	sub.AddPositionalValue(&id, "ID", 1, true, "key ID as shown by `key list`")
	output := a.outputFlag(sub)
	newClient := a.entryClient(sub)
	a.bind(sub, func(ctx context.Context) error {
		path := pathKeys + "/" + url.PathEscape(id) + "?operator=" + url.QueryEscape(userName())
		var answer operator.RevisionResponse
		if err := newClient().Call(ctx, http.MethodDelete, path, nil, &answer); err != nil {
			return err
		}
		return a.printRevision(output, answer)
	})
}

func (a *app) addKeyList(group *flaggy.Subcommand) {
	sub := addCommand(group, "list", "List the IDs and teams of the keys in force.", "flamingospar key list --output json")
	output := a.outputFlag(sub)
	newClient := a.entryClient(sub)
	a.bind(sub, func(ctx context.Context) error {
		var answers []operator.KeyResponse
		if err := newClient().Call(ctx, http.MethodGet, pathKeys, nil, &answers); err != nil {
			return err
		}
		tbl := table{header: []string{"ID", "TEAM"}}
		for _, answer := range answers {
			tbl.rows = append(tbl.rows, []string{answer.ID, answer.Team})
		}
		return a.print(output, answers, tbl)
	})
}

func (a *app) addOperator() {
	group := addCommand(a.parser, "operator", "Create operator credentials.", "flamingospar operator issue ana --role reader")
	name, role := "", string(operator.Reader)
	sub := addCommand(group, "issue", "Print a new credential and the lines for the file that operators.file names.", "flamingospar operator issue ana --role editor")
	sub.AddPositionalValue(&name, "NAME", 1, true, "the operator's name in the history")
	sub.String(&role, "", "role", "reader or editor")
	a.bind(sub, func(context.Context) error {
		if !operator.Role(role).IsValid() {
			return usageError{fmt.Errorf("--role %q is unknown; remedy: use reader or editor", role)}
		}
		credential := operator.NewCredential()
		_, err := fmt.Fprintf(a.stdout, "# Credential, shown this once: %s\n[[operator]]\nname = %q\nrole = %q\ncredential_sha256 = %q\n", credential, name, role, credentials.Hash(credential))
		return err
	})
}
