package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"flamingospar.org/gateway/config/check"
	"flamingospar.org/platform/site"
)

// configurationReport is the answer of check-configuration.
type configurationReport struct {
	Findings []check.Finding `json:"findings"`
	Changes  []check.Change  `json:"changes"`
}

func (a *app) addCheckConfiguration() {
	next, inForce, asJSON := "", "", false
	sub := addCommand(a.parser, "check-configuration", "Check a configuration for the users' VMs before it is published.", "flamingospar check-configuration new.json --against current.json")
	sub.AddPositionalValue(&next, "NEW", 1, true, "JSON file as the operator publishes it")
	sub.String(&inForce, "", "against", "JSON file of the configuration in force, to show what changes")
	sub.Bool(&asJSON, "", "json", "write JSON")
	a.bind(sub, func(context.Context) error {
		report, err := checkConfiguration(next, inForce)
		if err != nil {
			return usageError{err}
		}
		if err := a.printConfigurationReport(report, asJSON); err != nil {
			return err
		}
		if len(report.Findings) > 0 {
			return fmt.Errorf("%s has %d findings; remedy: follow those that are listed", next, len(report.Findings))
		}
		return nil
	})
}

// checkConfiguration checks the configuration in a file, and compares it with the one in
// force unless inForce is empty. The error says why a file can't be used at all.
func checkConfiguration(next, inForce string) (configurationReport, error) {
	report := configurationReport{Findings: []check.Finding{}, Changes: []check.Change{}}
	raw, err := os.ReadFile(next)
	if err != nil {
		return report, fmt.Errorf("%w; remedy: name a file that can be read", err)
	}
	report.Findings = append(report.Findings, check.Check(raw)...)
	if inForce == "" {
		return report, nil
	}
	current, err := os.ReadFile(inForce)
	if err != nil {
		return report, fmt.Errorf("%w; remedy: name a file that can be read", err)
	}
	currentManifest, err := site.ParseManifest(current)
	if err != nil {
		return report, fmt.Errorf("%s: %w", inForce, err)
	}
	if manifest, err := site.ParseManifest(raw); err == nil { // Otherwise it is a finding.
		report.Findings = append(report.Findings, check.CheckOrder(manifest, currentManifest)...)
		report.Changes = append(report.Changes, check.Compare(current, raw)...)
	}
	return report, nil
}

func (a *app) printConfigurationReport(report configurationReport, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(a.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	for _, finding := range report.Findings {
		fmt.Fprintf(a.stdout, "%s: %s: %s; remedy: %s\n", finding.Kind, finding.Where, finding.Problem, finding.Remedy)
	}
	for _, change := range report.Changes {
		fmt.Fprintf(a.stdout, "change: %s: %s -> %s\n", change.Where, orAbsent(change.Before), orAbsent(change.After))
	}
	if len(report.Findings) == 0 {
		fmt.Fprintln(a.stdout, "No findings.")
	}
	return nil
}

func orAbsent(value string) string {
	if value == "" {
		return "(absent)"
	}
	return value
}
