// Package catalog parses and validates the catalogue documents that operators
// keep under version control, and computes the difference between two catalogues.
package catalog

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"sort"
	"time"

	"gooseberrypond/core/document"
	"gooseberrypond/core/structs"
)

// MaxDocumentBytes is the largest accepted size of one file of the catalogue.
const MaxDocumentBytes = 8 << 20

// Upper limits of catalogue fields.
const (
	maxPriority = 100
	maxWeight   = 1000
	maxCount    = 1_000_000
	maxAttempts = 1000
	maxRuntime  = 30 * 24 * time.Hour
)

// nameAllowed describes validName in error messages.
const nameAllowed = "1 to 63 letters, digits, '-', '_' or '.', starting with a letter or digit"

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// catalogueDoc is the schema of a catalogue file.
type catalogueDoc struct {
	Owners  map[string]ownerDoc `json:"owners"`
	Entries map[string]entryDoc `json:"entries"`
}

type resourcesDoc struct {
	CPU          document.Cores `json:"cpu"`
	Memory       document.Bytes `json:"memory"`
	Accelerators int64          `json:"accelerators"`
}

type ownerDoc struct {
	TokenSHA256    []string     `json:"token_sha256"`
	Quota          resourcesDoc `json:"quota"`
	Weight         int          `json:"weight"`
	RequestRate    int          `json:"request_rate"`
	Concurrency    int          `json:"concurrency"`
	MaxQueued      int          `json:"max_queued"`
	MaxPendingJobs int          `json:"max_pending_jobs"`
	MergedFrom     []string     `json:"merged_from"`
}

type entryDoc struct {
	Owner           string            `json:"owner"`
	Class           string            `json:"class"`
	Resources       resourcesDoc      `json:"resources"`
	Urgent          bool              `json:"urgent"`
	Priority        int               `json:"priority"`
	ExpectedRuntime document.Duration `json:"expected_runtime"`
	LeaseHold       document.Duration `json:"lease_hold"`
	Missed          string            `json:"missed"`
	MaxAttempts     int               `json:"max_attempts"`
	RequestTimeout  document.Duration `json:"request_timeout"`
	Hedge           bool              `json:"hedge"`
}

// Source is one file of a catalogue.
type Source struct {
	Name string
	Data []byte
}

// parsedFile is one decoded file of the catalogue.
type parsedFile struct {
	doc *document.Document
	catalogueDoc
}

// Parse parses and validates a catalogue in a single file. See ParseAll.
func Parse(name string, data []byte) (*structs.Catalogue, error) {
	return ParseAll([]Source{{Name: name, Data: data}})
}

// ParseAll parses and validates a catalogue that is split over several files. An
// owner or entry may be defined in any file, but only once. The error is a
// document.Problems with all problems found. If a file cannot be decoded, only
// the decoding problems of all files are listed. The Version of the result is 0.
func ParseAll(sources []Source) (*structs.Catalogue, error) {
	var files []*parsedFile
	var problems document.Problems
	for _, src := range sources {
		p, err := decode(src)
		problems = append(problems, err...)
		files = append(files, p)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	all := mergeFiles(files)
	merged := map[string]string{}
	for _, p := range files {
		checkOwners(p.doc, p.Owners, all.Owners, merged)
		checkEntries(p.doc, p.Entries, all.Owners)
		problems = append(problems, p.doc.Problems()...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return all.catalogue(), nil
}

func decode(src Source) (*parsedFile, document.Problems) {
	if len(src.Data) > MaxDocumentBytes {
		return nil, document.Problems{{File: src.Name, Line: 1, Field: "(size)",
			Value: fmt.Sprint(len(src.Data)), Allowed: fmt.Sprintf("up to %d bytes", MaxDocumentBytes)}}
	}
	p := &parsedFile{}
	p.doc = document.Decode(src.Name, src.Data, &p.catalogueDoc)
	return p, p.doc.Problems()
}

// mergeFiles merges the files. A name that is defined in two files is reported as a
// problem of the later one.
func mergeFiles(files []*parsedFile) *catalogueDoc {
	all := &catalogueDoc{Owners: map[string]ownerDoc{}, Entries: map[string]entryDoc{}}
	for _, p := range files {
		for name, o := range p.Owners {
			_, duplicate := all.Owners[name]
			p.doc.Check(!duplicate, "owners."+name, "each owner in one file")
			all.Owners[name] = o
		}
		for name, e := range p.Entries {
			_, duplicate := all.Entries[name]
			p.doc.Check(!duplicate, "entries."+name, "each entry in one file")
			all.Entries[name] = e
		}
	}
	return all
}

func checkOwners(doc *document.Document, owners, all map[string]ownerDoc, merged map[string]string) {
	for _, name := range sortedKeys(owners) {
		o := owners[name]
		path := "owners." + name
		doc.Check(validName.MatchString(name), path, nameAllowed)
		checkTokens(doc, path, o.TokenSHA256)
		checkResources(doc, path+".quota", o.Quota)
		checkRange(doc, path+".weight", o.Weight, maxWeight)
		checkRange(doc, path+".request_rate", o.RequestRate, maxCount)
		checkRange(doc, path+".concurrency", o.Concurrency, maxCount)
		checkRange(doc, path+".max_queued", o.MaxQueued, maxCount)
		checkRange(doc, path+".max_pending_jobs", o.MaxPendingJobs, maxCount)
		for i, former := range o.MergedFrom {
			checkMerge(doc, fmt.Sprintf("%s.merged_from[%d]", path, i), former, all, merged)
			merged[former] = name
		}
	}
}

func checkTokens(doc *document.Document, path string, digests []string) {
	for i, digest := range digests {
		raw, err := hex.DecodeString(digest)
		doc.Check(err == nil && len(raw) == 32, fmt.Sprintf("%s.token_sha256[%d]", path, i),
			"64 hexadecimal digits, the SHA-256 of a token")
	}
}

// checkMerge checks that a former owner is no longer in the catalogue and is
// merged into only one owner, so that each job has exactly one owner. merged
// maps the former owners seen so far to their new owner.
func checkMerge(doc *document.Document, path, former string, owners map[string]ownerDoc, merged map[string]string) {
	doc.Check(validName.MatchString(former), path, nameAllowed)
	_, present := owners[former]
	doc.Check(!present, path, "an owner that is no longer listed under owners")
	_, duplicate := merged[former]
	doc.Check(!duplicate, path, "each former owner under one owner only")
}

func checkEntries(doc *document.Document, entries map[string]entryDoc, owners map[string]ownerDoc) {
	for _, name := range sortedKeys(entries) {
		e := entries[name]
		path := "entries." + name
		doc.Check(validName.MatchString(name), path, nameAllowed)
		_, known := owners[e.Owner]
		doc.Check(known, path+".owner", "the name of an owner listed under owners")
		class := structs.Class(e.Class)
		doc.Check(class == structs.ClassLatency || class == structs.ClassBatch, path+".class",
			fmt.Sprintf("%q or %q", structs.ClassLatency, structs.ClassBatch))
		checkResources(doc, path+".resources", e.Resources)
		checkRange(doc, path+".priority", e.Priority, maxPriority)
		checkRange(doc, path+".max_attempts", e.MaxAttempts, maxAttempts)
		checkDuration(doc, path+".expected_runtime", e.ExpectedRuntime, maxRuntime)
		checkDuration(doc, path+".lease_hold", e.LeaseHold, structs.MaxLeaseHold)
		checkDuration(doc, path+".request_timeout", e.RequestTimeout, structs.RequestTimeoutMax)
		rule := structs.MissedRule(e.Missed)
		doc.Check(rule == "" || rule == structs.MissedRunOnce || rule == structs.MissedSkip, path+".missed",
			fmt.Sprintf("%q or %q", structs.MissedRunOnce, structs.MissedSkip))
	}
}

func checkResources(doc *document.Document, path string, r resourcesDoc) {
	doc.Check(r.Accelerators >= 0 && r.Accelerators <= maxCount, path+".accelerators", rangeAllowed(maxCount))
}

func checkRange(doc *document.Document, path string, v, limit int) {
	doc.Check(v >= 0 && v <= limit, path, rangeAllowed(limit))
}

func checkDuration(doc *document.Document, path string, v document.Duration, limit time.Duration) {
	doc.Check(time.Duration(v) <= limit, path, fmt.Sprintf("a duration up to %s", limit))
}

func rangeAllowed(limit int) string {
	return fmt.Sprintf("a whole number from 0 to %d", limit)
}

func (f *catalogueDoc) catalogue() *structs.Catalogue {
	c := &structs.Catalogue{
		Owners:  make(map[string]structs.Owner, len(f.Owners)),
		Entries: make(map[string]structs.Entry, len(f.Entries)),
	}
	for name, o := range f.Owners {
		c.Owners[name] = o.owner()
	}
	for name, e := range f.Entries {
		c.Entries[name] = e.entry()
	}
	return c
}

func (o ownerDoc) owner() structs.Owner {
	return structs.Owner{
		TokenSHA256:    o.TokenSHA256,
		Quota:          o.Quota.resources(),
		Weight:         o.Weight,
		RequestRate:    o.RequestRate,
		Concurrency:    o.Concurrency,
		MaxQueued:      o.MaxQueued,
		MaxPendingJobs: o.MaxPendingJobs,
		MergedFrom:     o.MergedFrom,
	}
}

func (e entryDoc) entry() structs.Entry {
	return structs.Entry{
		Owner:             e.Owner,
		Class:             structs.Class(e.Class),
		Resources:         e.Resources.resources(),
		Urgent:            e.Urgent,
		Priority:          e.Priority,
		ExpectedRuntimeMS: e.ExpectedRuntime.Milliseconds(),
		LeaseHoldMS:       e.LeaseHold.Milliseconds(),
		Missed:            structs.MissedRule(e.Missed),
		MaxAttempts:       e.MaxAttempts,
		RequestTimeoutMS:  e.RequestTimeout.Milliseconds(),
		Hedge:             e.Hedge,
	}
}

func (r resourcesDoc) resources() structs.Resources {
	return structs.Resources{CPUMilli: int64(r.CPU), MemoryMB: r.Memory.MiB(), Accelerators: r.Accelerators}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
