package report

import (
	"slices"

	"doorstack.dev/node/blackboard"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// StageTimes is how long after their starts the daemons came to a step of it.
type StageTimes struct {
	Name string
	// After are the times in seconds, in order.
	After []float64
	// Median and Last are two of them.
	Median, Last float64
}

// startMessage is the log line of a stage.
const startMessage = "start"

// sumStarts lists the stages that were reached, in the order of a start.
func (l *Log) summarizeStarts() []StageTimes {
	var list []StageTimes
	for _, s := range blackboard.Stages() {
		after := slices.Sorted(slices.Values(l.starts[s.String()]))
		if len(after) == 0 {
			continue
		}
		list = append(list, StageTimes{Name: s.String(), After: after, Median: after[len(after)/2], Last: after[len(after)-1]})
	}
	return list
}

// plotStarts draws how many daemons have come to each stage, by the time since their starts.
func (s *Summary) plotStarts(p *plot.Plot) error {
	p.X.Label.Text, p.Y.Label.Text = "seconds since the process started", "daemons"
	p.X.Min, p.Y.Min = 0, 0
	p.Legend.Left, p.Legend.Top = false, false
	for i := range s.Starts {
		stage := &s.Starts[i]
		points := plotter.XYs{{}}
		for n, after := range stage.After {
			points = append(points, plotter.XY{X: after, Y: float64(n)}, plotter.XY{X: after, Y: float64(n + 1)})
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		curve.Color, curve.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(curve)
		p.Legend.Add(stage.Name, curve)
	}
	return nil
}
