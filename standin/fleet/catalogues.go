package fleet

import _ "embed"

//go:embed shedline.toml
var shedlineCatalogue string

//go:embed trust.toml
var trustCatalogue string
