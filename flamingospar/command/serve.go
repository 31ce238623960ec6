package command

import (
	"context"
	"fmt"
	"os"
	"runtime"

	"flamingospar.org/base/logging"
	"flamingospar.org/base/settingflags"
	"flamingospar.org/core/strict"
	"flamingospar.org/entry/settings"
	"flamingospar.org/entry/wiring"
	"flamingospar.org/flamingospar/dev"
)

func (a *app) addServe() {
	path := "entry.toml"
	sub := addCommand(a.parser, "serve", "Run an entry process.", "flamingospar serve --settings entry.toml --listen 10.0.0.5:8080")
	sub.String(&path, "s", "settings", "TOML settings file; each setting can be overridden by the flag of its name")
	flags := settingflags.Register(sub, settingNames(settings.Defaults()))
	a.bind(sub, func(ctx context.Context) error { return a.serve(ctx, path, flags.Overrides()) })
}

func settingNames(defaults any) []string {
	var names []string
	for _, key := range strict.Keys(defaults) {
		names = append(names, key.Name)
	}
	return names
}

func (a *app) serve(ctx context.Context, path string, overrides map[string]string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return usageError{fmt.Errorf("%w; remedy: name the settings file with --settings", err)}
	}
	parsed, err := settings.Parse(path, data, overrides)
	if err != nil {
		return usageError{err}
	}
	entry, err := wiring.Build(parsed, a.network)
	if err != nil {
		return err
	}
	logging.SetSink(entry.Journal().Log)
	listeners, err := entry.Listen()
	if err != nil {
		return fmt.Errorf("%w; remedy: free the address or choose another with --listen and --operator-listen", err)
	}
	return entry.Serve(ctx, listeners)
}

func (a *app) addDev() {
	options := dev.DefaultOptions()
	options.Network = a.network
	sub := addCommand(a.parser, "dev", "Run entries and agents with stand-ins on this machine.", "flamingospar dev --fleet trust\n  flamingospar dev --only platform,endpoints")
	sub.String(&options.Fleet, "", "fleet", "shedline or trust")
	sub.String(&options.Listen, "", "listen", "caller API address of the first entry")
	sub.String(&options.OperatorListen, "", "operator-listen", "operator API address of the first entry")
	sub.Int(&options.Entries, "", "entries", "number of entries; default 3, or 1 in the VM list of --only")
	sub.String(&options.Only, "", "only", "platform,endpoints: run only the stand-ins")
	a.bind(sub, func(ctx context.Context) error { return dev.Run(ctx, options, a.stdout) })
}

// versionAnswer is the JSON output of the version command.
type versionAnswer struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func (a *app) addVersion() {
	sub := addCommand(a.parser, "version", "Print the version.", "flamingospar version --output json")
	output := a.outputFlag(sub)
	a.bind(sub, func(context.Context) error {
		answer := versionAnswer{Version: Version, Go: runtime.Version()}
		return a.print(output, answer, table{header: []string{"VERSION", "GO"}, rows: [][]string{{answer.Version, answer.Go}}})
	})
}
