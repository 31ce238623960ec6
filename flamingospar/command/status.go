package command

import (
	"context"
	"net/http"
	"strconv"

	"flamingospar.org/entry/operator"
)

func (a *app) addStatus() {
	sub := command(a.parser, "status", "Show an entry's state and the endpoints that it knows.", "flamingospar status --operator http://10.0.0.5:8081")
	output := a.outputFlag(sub)
	remote := a.remote(sub)
	a.bind(sub, func(ctx context.Context) error {
		var status operator.Status
		if err := remote().Call(ctx, http.MethodGet, "/v1/status", nil, &status); err != nil {
			return err
		}
		return a.print(output, status, statusTable(status))
	})
}

func statusTable(status operator.Status) table {
	printed := table{header: []string{"NAME", "DATA CENTRE", "KIND", "MODEL", "READY", "OUTSTANDING", "QUEUED"}}
	printed.rows = append(printed.rows, []string{"(this entry)", status.DataCentre, "entry", "", strconv.FormatBool(status.Ready), "", ""})
	for _, e := range status.Endpoints {
		printed.rows = append(printed.rows, []string{e.Name, e.DataCentre, e.Kind, e.Model, strconv.FormatBool(e.Ready), strconv.Itoa(e.Outstanding), strconv.Itoa(e.Queued)})
	}
	return printed
}
