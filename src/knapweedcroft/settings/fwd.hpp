#ifndef KNAPWEEDCROFT_SETTINGS_FWD_HPP
#define KNAPWEEDCROFT_SETTINGS_FWD_HPP

namespace knapweedcroft {

struct command_line;
struct option_spec;

} // namespace knapweedcroft

#endif
