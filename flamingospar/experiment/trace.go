package experiment

import (
	"bytes"
	"embed"
	"fmt"
	"io/fs"
	"os"
	"path"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

//go:embed traces/*.toml
var traceFiles embed.FS

// Trace describes a load and the faults during it. Times are in seconds from the
// start of the trace.
type Trace struct {
	Name        string  `toml:"name"`
	Description string  `toml:"about"`
	Seconds     float64 `toml:"seconds"`
	// Load is the offered work at the rate and prefill share of the first phase,
	// as a fraction of the fleet's capacity.
	Load             float64 `toml:"load"`
	LeadSeconds      float64 `toml:"lead"`          // From ordering an engine to its being in service; a default if 0.
	MeanOutputTokens float64 `toml:"output_tokens"` // Per request.
	PrefixTokens     int     `toml:"prefix_tokens"` // Length of the shared prefix of a prompt, if it has one.
	PrefixesPerTeam  int     `toml:"prefixes"`      // Number of different prefixes.
	// WindowStart and WindowEnd limit the arrivals counted by the column "in-window";
	// without them it counts the whole trace.
	WindowStart float64 `toml:"from"`
	WindowEnd   float64 `toml:"to"`
	Phases      []Phase `toml:"phase"`
	Bursts      []Burst `toml:"burst"`
	Faults      []Fault `toml:"fault"`
}

// Phase sets the load at a time. Between phases it is interpolated linearly.
type Phase struct {
	At           float64 `toml:"at"`
	Rate         float64 `toml:"rate"`          // Relative request rate; 1 gives Load.
	PrefillShare float64 `toml:"prefill_share"` // Prefill as a fraction of the work.
}

// Burst is additional load of a team: either Rate for Seconds or a batch of Requests.
type Burst struct {
	At       float64 `toml:"at"`
	Seconds  float64 `toml:"seconds"`
	Team     int     `toml:"team"`     // Index in the catalogue's teams.
	Rate     float64 `toml:"rate"`     // Factor of the team's request rate.
	Requests int     `toml:"requests"` // Number of similar requests of the batch class.
	Deadline float64 `toml:"deadline"` // Of these requests, in seconds after arrival.
}

// Kinds of faults and their parameters.
const (
	faultWithdraw           = "withdraw"      // The platform withdraws engines after a notice.
	faultCrash              = "crash"         // Engines stop immediately and restart without state.
	faultDropCaches         = "drop_caches"   // All prefix caches are cleared.
	faultStoreOutage        = "store_outage"  // The store is unavailable, so no capacity orders are sent.
	faultSlow               = "slow"          // Engine steps take Factor times as long.
	faultStuckReports       = "stuck_reports" // Load reports repeat their last value.
	faultIdleReports        = "lying_reports" // Load reports show an idle engine.
	faultNoReports          = "no_reports"    // Load reports are lost.
	faultClockSkew          = "clock_skew"    // Clocks of agents are ahead by Factor seconds.
	withdrawalNoticeSeconds = 20.0
	crashRestartSeconds     = 10.0
)

// Fault is a fault during a trace.
type Fault struct {
	Kind           string  `toml:"kind"`
	At             float64 `toml:"at"`
	Seconds        float64 `toml:"seconds"` // Until the end of the trace if 0.
	EngineFraction float64 `toml:"engines"` // Fraction of the engines affected.
	Factor         float64 `toml:"factor"`
}

// LoadTrace returns the built-in trace of that name or else reads a trace file.
func LoadTrace(name string) (Trace, error) {
	data, err := traceFiles.ReadFile("traces/" + name + ".toml")
	if err != nil {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return Trace{}, fmt.Errorf("trace %s: %w; remedy: name a TOML file or one of %s", name, err, strings.Join(BuiltinTraces(), ", "))
	}
	return parseTrace(name, data)
}

// BuiltinTraces returns the names of the built-in traces.
func BuiltinTraces() []string {
	files, _ := fs.Glob(traceFiles, "traces/*.toml")
	names := make([]string, 0, len(files))
	for _, file := range files {
		names = append(names, strings.TrimSuffix(path.Base(file), ".toml"))
	}
	return names
}

func parseTrace(name string, data []byte) (Trace, error) {
	trace := Trace{MeanOutputTokens: 80, PrefixTokens: 256, PrefixesPerTeam: 100}
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&trace); err != nil {
		return Trace{}, fmt.Errorf("trace %s: %w; remedy: correct the key", name, err)
	}
	if trace.Seconds <= 0 || trace.Load <= 0 || len(trace.Phases) == 0 {
		return Trace{}, fmt.Errorf("trace %s: seconds and load must be positive and a phase is required; remedy: add them", name)
	}
	if trace.WindowEnd == 0 {
		trace.WindowEnd = trace.Seconds
	}
	return trace, nil
}

// loadAt returns the relative request rate and the prefill share at a time.
func (t Trace) loadAt(seconds float64) (rate, share float64) {
	previous := t.Phases[0]
	for _, phase := range t.Phases {
		if phase.At > seconds {
			fraction := (seconds - previous.At) / (phase.At - previous.At)
			return previous.Rate + fraction*(phase.Rate-previous.Rate),
				previous.PrefillShare + fraction*(phase.PrefillShare-previous.PrefillShare)
		}
		previous = phase
	}
	return previous.Rate, previous.PrefillShare
}

// maxDeadline returns the longest deadline of the trace's bursts.
func (t Trace) maxDeadline() float64 {
	deadline := 0.0
	for _, burst := range t.Bursts {
		deadline = max(deadline, burst.Deadline)
	}
	return deadline
}

// endTime returns the end of the fault in a trace of the given length.
func (f Fault) endTime(seconds float64) float64 {
	if f.Seconds <= 0 {
		return seconds
	}
	return f.At + f.Seconds
}
