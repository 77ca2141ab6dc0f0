package config

import "fmt"

// renamedSetting is a setting that files may still call by its former name.
type renamedSetting struct{ section, former, name string }

var renamedSettings = []renamedSetting{
	{section: "quota", former: "pass_over", name: "max_skipped_jobs"},
	{section: "quota", former: "keep_after_s", name: "reserve_after_s"},
	{section: "quota", former: "keep_for_s", name: "reserve_for_s"},
}

// renameFormerNames replaces the former names of settings in a document by the present ones, and
// returns a warning for each. It is an error if a setting is there under both names.
func renameFormerNames(document any) (warnings []string, err error) {
	sections, _ := document.(map[string]any)
	for _, renamed := range renamedSettings {
		section, _ := sections[renamed.section].(map[string]any)
		value, found := section[renamed.former]
		if !found {
			continue
		}
		formerKey, key := renamed.section+"."+renamed.former, renamed.section+"."+renamed.name
		if _, both := section[renamed.name]; both {
			return nil, invalid(formerKey, "is the former name of %s, which is set too", renamed.name)
		}
		delete(section, renamed.former)
		section[renamed.name] = value
		warnings = append(warnings, fmt.Sprintf("%s is called %s now", formerKey, key))
	}
	return warnings, nil
}
