// Command plot draws columns of a file of numbers as a line chart in SVG.
package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"
)

func main() {
	var c plotCmd
	kong.Parse(&c, kong.Name("plot"), kong.Description("Draws columns of numbers as SVG."))
	if err := c.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// plotCmd writes a line chart of the columns to standard output.
type plotCmd struct {
	File  string   `arg:"" help:"Lines of numbers; the first column is the x axis, # starts a comment." type:"existingfile"`
	Lines []string `help:"Columns to draw as COLUMN=LABEL; the first column is 0." required:""`
	Title string   `help:"Title." required:""`
	X     string   `help:"Label of the x axis." required:""`
	Scale float64  `help:"Factor for the values." default:"1"`
}

// Layout of the chart in pixels, and the formats of its text elements.
const (
	plotWidth, plotHeight      = 720.0, 360.0
	plotLeft, plotTop          = 70.0, 40.0
	plotRight, plotBottom      = 20.0, 50.0
	plotSteps                  = 5
	innerWidth, innerHeight    = plotWidth - plotLeft - plotRight, plotHeight - plotTop - plotBottom
	plotText, plotTextAnchored = `<text x="%.0f" y="%.0f">%s</text>` + "\n", `<text x="%.0f" y="%.0f" text-anchor="%s">%s</text>` + "\n"
)

// Run implements the command.
func (c *plotCmd) Run() error {
	rows, err := readRows(c.File)
	if err != nil {
		return err
	}
	maxX, maxY := 0.0, 0.0
	for _, r := range rows {
		maxX = max(maxX, r[0])
		for _, spec := range c.Lines {
			maxY = max(maxY, r[column(spec)]*c.Scale)
		}
	}
	fmt.Printf(`<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %.0f %.0f" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Printf(`<rect width="%.0f" height="%.0f" fill="white"/>`+"\n", plotWidth, plotHeight)
	fmt.Printf(plotText, plotLeft, 20.0, c.Title)
	for i := range plotSteps + 1 {
		fraction := float64(i) / plotSteps
		x, y := plotLeft+fraction*innerWidth, plotTop+(1-fraction)*innerHeight
		fmt.Printf(`<path d="M%.1f %.1fh%.1f" stroke="#ddd"/>`+"\n", plotLeft, y, innerWidth)
		fmt.Printf(plotTextAnchored, plotLeft-6, y+4, "end", fmt.Sprintf("%.4g", fraction*maxY))
		fmt.Printf(plotTextAnchored, x, plotHeight-plotBottom+16, "middle", fmt.Sprintf("%.4g", fraction*maxX))
	}
	fmt.Printf(plotTextAnchored, plotLeft+innerWidth/2, plotHeight-12, "middle", c.X)
	for i, spec := range c.Lines {
		c.line(rows, spec, i, maxX, maxY)
	}
	fmt.Println("</svg>")
	return nil
}

// line draws one column and its label in the legend.
func (c *plotCmd) line(rows [][]float64, spec string, i int, maxX, maxY float64) {
	color := []string{"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad"}[i%4]
	var points strings.Builder
	for _, r := range rows {
		fmt.Fprintf(&points, "%.1f,%.1f ", plotLeft+r[0]/maxX*innerWidth, plotTop+(1-r[column(spec)]*c.Scale/maxY)*innerHeight)
	}
	fmt.Printf(`<polyline points="%s" fill="none" stroke="%s" stroke-width="2"/>`+"\n", strings.TrimSpace(points.String()), color)
	_, label, _ := strings.Cut(spec, "=")
	fmt.Printf(`<text x="%.0f" y="%.0f" fill="%s">%s</text>`+"\n", plotLeft+10+float64(i)*165, plotTop-4, color, label)
}

// column returns the number of the column in COLUMN=LABEL.
func column(spec string) int {
	var n int
	_, _ = fmt.Sscan(spec, &n)
	return n
}

// readRows reads the rows of numbers; it skips empty lines and comments.
func readRows(file string) ([][]float64, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var rows [][]float64
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") || lines.Text() == "" {
			continue
		}
		var row []float64
		for _, field := range strings.Fields(lines.Text()) {
			var v float64
			if _, err := fmt.Sscan(field, &v); err != nil {
				return nil, err
			}
			row = append(row, v)
		}
		rows = append(rows, row)
	}
	return rows, nil
}
