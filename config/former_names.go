package config

import "fmt"

// renamedSetting holds the former and the current name of a setting. Files may use either.
type renamedSetting struct{ section, former, name string }

var renamedSettings = []renamedSetting{
	{section: "quota", former: "pass_over", name: "max_skipped_jobs"},
	{section: "quota", former: "keep_after_s", name: "reserve_after_s"},
	{section: "quota", former: "keep_for_s", name: "reserve_for_s"},
}

// renameFormerNames replaces the former names of settings in a document by the current ones, and
// returns a warning for each. It returns an error if a setting appears under both names.
func renameFormerNames(document any) (warnings []string, err error) {
	sections, _ := document.(map[string]any)
	for _, renamed := range renamedSettings {
		section, _ := sections[renamed.section].(map[string]any)
		value, found := section[renamed.former]
		if !found {
			continue
		}
		formerKey, key := renamed.section+"."+renamed.former, renamed.section+"."+renamed.name
		if _, alsoSet := section[renamed.name]; alsoSet {
			return nil, invalidSetting(formerKey, "is the former name of %s, which is also set: remove the former name", renamed.name)
		}
		delete(section, renamed.former)
		section[renamed.name] = value
		warnings = append(warnings, fmt.Sprintf("%s is called %s now", formerKey, key))
	}
	return warnings, nil
}
