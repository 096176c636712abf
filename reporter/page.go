package reporter

import (
	"fmt"
	"html/template"
	"io"
	"strings"
)

// Sizes of a plot in pixels, and the burn rate at its top.
const (
	plotWidth  = 180.0
	plotHeight = 40.0
	plotTop    = 20.0
)

// WritePage writes the report as one HTML page that loads nothing else.
func WritePage(w io.Writer, r Report) error {
	var text strings.Builder
	functions := template.FuncMap{
		"stamp": stamp, "join": join, "plural": plural, "target": target, "percent": percent,
		"length": length, "burn": burn, "worst": worst, "points": points, "height": height, "color": color,
	}
	page, err := template.New("report").Funcs(functions).Parse(pageText)
	if err != nil {
		return WriteFailed.Wrap(err, "page does not parse")
	}
	if err := page.Execute(&text, r); err != nil {
		return WriteFailed.Wrap(err, "page not filled in")
	}
	return send(w, text.String())
}

// points places a trend's burn rates in a plot, the oldest at the left.
func points(trend []float64) string {
	places := make([]string, len(trend))
	for i, rate := range trend {
		x := plotWidth * float64(i) / float64(max(1, len(trend)-1))
		places[i] = fmt.Sprintf("%.0f,%.1f", x, height(rate))
	}
	return strings.Join(places, " ")
}

// height is the distance of a burn rate from the top of a plot.
func height(rate float64) float64 {
	return plotHeight * (1 - min(rate, plotTop)/plotTop)
}

// color marks the state of a line.
func color(s State) string {
	switch s {
	case BurningFast:
		return "#c62828"
	case BurningSlow:
		return "#ef6c00"
	}
	return "#2e7d32"
}

const pageText = `<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { padding: 0.3em 0.8em; border-bottom: 1px solid #ccc; text-align: left; }
td.number { text-align: right; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>{{stamp .Date}}, from {{plural (len .Reached) "host"}}.{{if .Unreached}} <strong>Not reached: {{join .Unreached}}.</strong>{{end}}</p>
{{with .Worst}}<p>Worst served in the last hour: tier {{.Tier}}, {{.Objective}}, {{worst .}}.</p>
{{end}}<table>
<tr><th>tier</th><th>objective</th><th>target</th><th>budget</th>{{with .Lines}}{{range (index . 0).Burns}}<th>{{length .Window}}</th>{{end}}{{end}}<th>last 6 h</th><th>state</th><th>worst in 1 h (mean)</th></tr>
{{range .Lines}}<tr><td>{{.Tier}}</td><td>{{.Objective}}</td><td>{{target .}}</td><td>{{percent .Budget}}</td>{{range .Burns}}<td class="number">{{burn .}}</td>{{end}}
<td><svg width="180" height="40" role="img" aria-label="burn rate">
<line x1="0" x2="180" y1="{{height 6}}" y2="{{height 6}}" stroke="#c62828" stroke-dasharray="3"/>
<polyline points="{{points .Trend}}" fill="none" stroke="{{color .State}}" stroke-width="2"/></svg></td>
<td style="color: {{color .State}}">{{.State}}</td><td>{{worst .Worst}}</td></tr>
{{end}}</table>
<p>A burn rate of 1 uses up the budget exactly; a star marks a window that is covered in part; the dashed line is the rate that counts as fast.</p>
</body>
</html>
`
