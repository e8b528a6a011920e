package report

import (
	"bytes"
	"html/template"
	"io"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotWidth and plotHeight are the size of each plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// pageTemplate is the page. It is executed with the Summary and its plots.
var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<meta charset="utf-8"><title>doorstack: report</title>
<style>body{font:15px sans-serif;max-width:60em;margin:2em auto}td,th{padding:.2em .8em;text-align:right}th:first-child,td:first-child{text-align:left}</style>
<h1>Results of calls, {{.From.Format "2006-01-02 15:04:05"}} to {{.To.Format "15:04:05"}}</h1>
<table><tr><th>prompt<th>calls<th>in time<th>late<th>refused<th>failed
{{range .Classes}}<tr><td>{{.Name}}<td>{{.Calls}}<td>{{.InTime}}<td>{{.Late}}<td>{{.Refused}}<td>{{.Failed}}
{{end}}</table>
<h2>Share in time over time</h2>{{.Shares}}
<h2>Time to the first event against the goal</h2>
<p>10th, 50th and 90th percentile of complete answers; above 1 is late.</p>{{.Lateness}}
<h2>Predicted and actual time to the first event</h2>
<p>The actual time from the placement to the first event, divided by the predicted one.</p>
<table><tr><th>prompt<th>calls<th>p10<th>p50<th>p90<th>waited p50, s<th>waited p90, s
{{range .Classes}}{{if .ForeseenCalls}}<tr><td>{{.Name}}<td>{{.ForeseenCalls}}<td>{{printf "%.2f" .Foreseen.P10}}<td>{{printf "%.2f" .Foreseen.P50}}<td>{{printf "%.2f" .Foreseen.P90}}<td>{{printf "%.2f" .Waited.P50}}<td>{{printf "%.2f" .Waited.P90}}
{{end}}{{end}}</table>
<h2>Filters that made calls wait</h2>
<p>Calls that waited or were refused, by the filters that rejected targets; a call may count for several filters.</p>
<table><tr><th>filter<th>calls
{{range .Filters}}<tr><td>{{.Filter}}<td>{{.Calls}}
{{end}}</table>
{{if .Starts}}<h2>Daemon starts</h2>
<p>Number of daemons that have reached each stage, by the time since their processes started.</p>{{.StartsPlot}}
<table><tr><th>stage<th>starts<th>p50, s<th>last, s
{{range .Starts}}<tr><td>{{.Name}}<td>{{len .After}}<td>{{printf "%.2f" .Median}}<td>{{printf "%.2f" .Last}}
{{end}}</table>{{end}}
{{if .Skipped}}<p>{{.Skipped}} lines could not be read.</p>{{end}}
`))

// Write writes the summary as an HTML page with SVG plots.
func (s *Summary) Write(w io.Writer) error {
	shares, err := renderPlot(s.plotInTimeShare)
	if err != nil {
		return err
	}
	lateness, err := renderPlot(s.plotLateness)
	if err != nil {
		return err
	}
	starts, err := renderPlot(s.plotStarts)
	if err != nil {
		return err
	}
	content := struct {
		*Summary
		Shares, Lateness, StartsPlot template.HTML
	}{s, shares, lateness, starts}
	if err := pageTemplate.Execute(w, content); err != nil {
		return errors.Wrap(err, "write the page")
	}
	return nil
}

// renderPlot returns the SVG element of a plot that fill sets up.
func renderPlot(fill func(*plot.Plot) error) (template.HTML, error) {
	p := plot.New()
	if err := fill(p); err != nil {
		return "", errors.Wrap(err, "draw a plot")
	}
	canvas, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", errors.Wrap(err, "draw a plot")
	}
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return "", errors.Wrap(err, "write a plot")
	}
	svg := text.Bytes()
	return template.HTML(svg[max(0, bytes.Index(svg, []byte("<svg"))):]), nil //nolint:gosec // The text comes from the plot library.
}

// plotInTimeShare plots the share of calls in time over time, for each class.
func (s *Summary) plotInTimeShare(p *plot.Plot) error {
	p.X.Label.Text, p.Y.Label.Text = "seconds", "share in time"
	p.Y.Min, p.Y.Max = 0, 1.02
	p.Legend.Left = true
	for i := range s.Classes {
		k := &s.Classes[i]
		var points plotter.XYs
		for step, share := range k.InTimeShare {
			if share >= 0 {
				points = append(points, plotter.XY{X: float64(step) * ShareInterval.Seconds(), Y: share})
			}
		}
		if len(points) == 0 {
			continue
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		curve.Color, curve.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(curve)
		p.Legend.Add(k.Name, curve)
	}
	return nil
}

// plotLateness plots quantiles of the time to the first event, relative to the goal, for each class.
func (s *Summary) plotLateness(p *plot.Plot) error {
	p.Y.Label.Text = "time / goal"
	p.Y.Min = 0
	var names []string
	width := vg.Points(14)
	for q, pick := range []func(Quantiles) float64{
		func(x Quantiles) float64 { return x.P10 }, func(x Quantiles) float64 { return x.P50 }, func(x Quantiles) float64 { return x.P90 },
	} {
		var values plotter.Values
		for i := range s.Classes {
			values = append(values, pick(s.Classes[i].FirstEventToGoal))
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return err
		}
		bars.Color, bars.Offset = plotutil.Color(q), vg.Length(q-1)*width
		p.Add(bars)
		p.Legend.Add([]string{"10th percentile", "50", "90"}[q], bars)
	}
	for i := range s.Classes {
		names = append(names, s.Classes[i].Name)
	}
	p.NominalX(names...)
	// Leave half a bar group of space on both sides.
	p.X.Min, p.X.Max = -0.5, float64(len(s.Classes))-0.5
	p.Legend.Top, p.Legend.Left = true, true
	return nil
}
