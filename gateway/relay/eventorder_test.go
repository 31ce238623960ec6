package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against events that come twice or are missing where a stream goes on, and against
// sound streams that are ended: IDs may be no numbers, may increase by more than one, and some
// events may have none.
func TestEventsGoOnAfterTheLastOne(t *testing.T) {
	cases := map[string]struct {
		order eventOrder
		ids   []string
		ok    bool
	}{
		"from the start":             {eventOrder{}, []string{"1", "2", "10", "11"}, true},
		"some without":               {eventOrder{}, []string{"", "1", "", "2", ""}, true},
		"none":                       {eventOrder{}, []string{"", ""}, true},
		"no numbers":                 {eventOrder{}, []string{"b", "a"}, true},
		"twice":                      {eventOrder{}, []string{"1", "1"}, false},
		"twice, no numbers":          {eventOrder{}, []string{"a", "a"}, false},
		"back":                       {eventOrder{}, []string{"10", "9"}, false},
		"goes on":                    {eventOrder{lastID: "3", goesOn: true, consecutive: true}, []string{"4", "6"}, true},
		"goes on later":              {eventOrder{lastID: "3", goesOn: true}, []string{"5"}, true},
		"goes on later, one by one":  {eventOrder{lastID: "3", goesOn: true, consecutive: true}, []string{"5"}, false},
		"goes on with the last one":  {eventOrder{lastID: "3", goesOn: true}, []string{"3"}, false},
		"goes on from the start":     {eventOrder{lastID: "3", goesOn: true}, []string{"1"}, false},
		"goes on without an ID":      {eventOrder{lastID: "3", goesOn: true}, []string{""}, false},
		"goes on, the first without": {eventOrder{lastID: "3", goesOn: true}, []string{"", "4"}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var err error
			for _, id := range c.ids {
				if err == nil {
					err = c.order.add(id)
				}
			}
			if c.ok {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, errNoStream)
			}
		})
	}
}
