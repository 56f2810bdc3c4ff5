#ifndef CURRANTREEL_CORE_TABLE_H
#define CURRANTREEL_CORE_TABLE_H

#include <concepts>
#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

namespace currantreel {

/// Row type that is identified by a member `id`.
template <typename Row>
concept Identified = requires(const Row &row)
{
    {
        row.id.isValid()
        } -> std::convertible_to<bool>;
};

/// Dense table of rows with an index by identifier.
///
/// Rows are stored contiguously, and systems iterate over them in order. The order depends only on
/// the sequence of insertions and removals, never on addresses, which keeps runs reproducible.
/// Pointers to rows stay valid until the next insertion or removal.
/// @tparam Row a struct with a member `id`.
template <typename Row>
class Table
{
    static_assert(Identified<Row>,
                  "a row of Table needs a member 'id' of type currantreel::Id<...>");

public:
    using IdType = decltype(Row::id);

    /// Adds @p row or replaces the row with the same identifier.
    /// @return the stored row.
    Row &insert(Row row)
    {
        const auto [position, isNew] = m_index.try_emplace(row.id, m_rows.size());
        if (isNew)
            m_rows.push_back(std::move(row));
        else
            m_rows[position->second] = std::move(row);
        return m_rows[position->second];
    }

    /// Row with identifier @p id, or nullptr.
    [[nodiscard]] Row *find(IdType id)
    {
        const auto position = m_index.find(id);
        return position == m_index.end() ? nullptr : &m_rows[position->second];
    }

    /// @copydoc find
    [[nodiscard]] const Row *find(IdType id) const
    {
        const auto position = m_index.find(id);
        return position == m_index.end() ? nullptr : &m_rows[position->second];
    }

    /// Removes the row with identifier @p id; the last row moves to its position.
    /// @return whether the row existed.
    bool remove(IdType id)
    {
        const auto position = m_index.find(id);
        if (position == m_index.end())
            return false;
        const std::size_t vacated = position->second;
        m_index.erase(position);
        if (vacated + 1 != m_rows.size()) {
            m_rows[vacated] = std::move(m_rows.back());
            m_index[m_rows[vacated].id] = vacated;
        }
        m_rows.pop_back();
        return true;
    }

    /// Removes every row for which @p predicate holds.
    template <std::predicate<const Row &> Predicate>
    void removeIf(Predicate predicate)
    {
        for (std::size_t i = m_rows.size(); i-- > 0;) {
            if (predicate(m_rows[i]))
                remove(m_rows[i].id);
        }
    }

    void clear()
    {
        m_rows.clear();
        m_index.clear();
    }

    [[nodiscard]] std::size_t size() const { return m_rows.size(); }
    [[nodiscard]] bool isEmpty() const { return m_rows.empty(); }
    [[nodiscard]] auto begin() { return m_rows.begin(); }
    [[nodiscard]] auto end() { return m_rows.end(); }
    [[nodiscard]] auto begin() const { return m_rows.begin(); }
    [[nodiscard]] auto end() const { return m_rows.end(); }

private:
    std::vector<Row> m_rows;
    std::unordered_map<IdType, std::size_t> m_index;
};

} // namespace currantreel

#endif
