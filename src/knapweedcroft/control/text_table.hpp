#ifndef KNAPWEEDCROFT_CONTROL_TEXT_TABLE_HPP
#define KNAPWEEDCROFT_CONTROL_TEXT_TABLE_HPP

#include <string>
#include <vector>

namespace knapweedcroft {

/** @brief Text table whose columns are as wide as their widest cell. */
class text_table {
public:
    using row = std::vector<std::string>;

    /** @brief Constructs a table that has only a row of headings. */
    explicit text_table(row headings);

    /**
     * @brief Adds a row.
     * @param cells One cell per column; missing cells are left empty, and control characters are replaced by `?`.
     */
    void add(row cells);

    /** @brief Returns the table, one line per row. */
    [[nodiscard]] std::string format() const;

private:
    std::vector<row> m_rows;
};

} // namespace knapweedcroft

#endif
