package control

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/olekukonko/tablewriter"
)

// Series is one quantity that is measured at several sizes.
type Series struct {
	// Name names the quantity and the role at which it was measured.
	Name string `json:"name"`
	// X is the unit of the size.
	X string `json:"x"`
	// Y is the unit of the quantity.
	Y string `json:"y"`
	// Points are the measured points.
	Points []Point `json:"points"`
	// Line is the line fitted to the points.
	Line Line `json:"line"`
	// Target is the size at the target.
	Target float64 `json:"target"`
	// AtTarget is the value of Line at Target.
	AtTarget float64 `json:"atTarget"`
	// Limit is the upper limit of AtTarget; 0 for no limit.
	Limit float64 `json:"limit,omitempty"`
}

// newSeries returns a series without points.
func newSeries(name, sizeUnit, unit string, target, limit float64) *Series {
	return &Series{Name: name, X: sizeUnit, Y: unit, Target: target, Limit: limit}
}

// add adds a measured point.
func (s *Series) add(x, y float64) { s.Points = append(s.Points, Point{X: x, Y: y}) }

// Report is the result of a run.
type Report struct {
	// Series are the measured quantities.
	Series []*Series `json:"series"`
	// Facts are the figures that belong to no series.
	Facts []Fact `json:"facts"`
}

// Fact is a single figure.
type Fact struct {
	// Name names the quantity and its unit.
	Name string `json:"name"`
	// Value is the figure.
	Value float64 `json:"value"`
}

// addFact adds a single figure to the report.
func (r *Report) addFact(name string, value float64) {
	r.Facts = append(r.Facts, Fact{Name: name, Value: value})
}

// fitLines fits a line to the points of each series.
func (r *Report) fitLines() {
	for _, s := range r.Series {
		s.Line = FitLine(s.Points)
		s.AtTarget = s.Line.ValueAt(s.Target)
	}
}

// write prints the report as tables, or as JSON.
func (r *Report) write(out io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	table := tablewriter.NewWriter(out)
	table.SetHeader([]string{"quantity", "unit", "points (size:value)", "base", "slope per", "residual", "at target", "limit"})
	table.SetAutoFormatHeaders(false)
	table.SetAutoWrapText(false)
	for _, s := range r.Series {
		table.Append([]string{
			s.Name, s.Y, formatPoints(s.Points), formatNumber(s.Line.Base), formatNumber(s.Line.Slope) + " / " + s.X,
			formatNumber(s.Line.Residual), fmt.Sprintf("%s at %s", formatNumber(s.AtTarget), formatNumber(s.Target)), formatLimit(s.Limit),
		})
	}
	table.Render()
	for _, fact := range r.Facts {
		if _, err := fmt.Fprintf(out, "%s: %s\n", fact.Name, formatNumber(fact.Value)); err != nil {
			return err
		}
	}
	return nil
}

// formatPoints returns the points as size:value, separated by spaces.
func formatPoints(points []Point) string {
	var texts []string
	for _, p := range points {
		texts = append(texts, formatNumber(p.X)+":"+formatNumber(p.Y))
	}
	return strings.Join(texts, " ")
}

// formatNumber returns the value with four significant digits.
func formatNumber(value float64) string { return fmt.Sprintf("%.4g", value) }

// formatLimit returns the limit, or "-" for no limit.
func formatLimit(value float64) string {
	if value == 0 {
		return "-"
	}
	return formatNumber(value)
}
