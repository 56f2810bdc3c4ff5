#include "Trace.h"
#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <map>
#include <sstream>

namespace currantreel {

namespace {

constexpr double microsecondsPerSecond = 1e6;
constexpr double maxNumber = 1e9;
constexpr double maxSeconds = 1e5;
constexpr double maxPermille = 1000.0;

constexpr std::array<std::string_view, 8> faultKindNames{
    "straggler", "crash", "silence", "leave", "partition", "platform-outage", "pause", "host-crash"
};

/// The fields of one record, with the faults found in them.
class Record
{
public:
    Record(std::string file, int line, FaultList &faults)
        : m_file(std::move(file)), m_line(line), m_faults(&faults)
    {
    }

    void read(std::istringstream &words)
    {
        std::string word;
        while (words >> word) {
            const std::size_t equals = word.find('=');
            if (equals == std::string::npos)
                fault(ResultCode::SettingsSyntax, word, "expected a field as in name=value");
            else if (!m_fields.emplace(word.substr(0, equals), word.substr(equals + 1)).second)
                fault(ResultCode::SettingsSyntax, word, "the field is given twice");
        }
    }

    std::string text(const std::string &key, bool isRequired = true)
    {
        const auto found = m_fields.find(key);
        if (found == m_fields.end()) {
            if (isRequired)
                fault(ResultCode::SettingsMissingKey, key, "the field is missing");
            return "";
        }
        std::string value = found->second;
        m_fields.erase(found);
        return value;
    }

    /// Real number from 0 to @p maximum; @p fallback if the field is missing, which is a fault if
    /// there is no fallback.
    double real(const std::string &key, double maximum, std::optional<double> fallback = {})
    {
        if (fallback && !m_fields.contains(key))
            return *fallback;
        return parse(key, text(key), maximum);
    }

    std::uint64_t count(const std::string &key, std::optional<double> fallback = {})
    {
        return static_cast<std::uint64_t>(real(key, maxNumber, fallback));
    }

    Duration seconds(const std::string &key, std::optional<double> fallback = {})
    {
        return Duration(std::llround(real(key, maxSeconds, fallback) * microsecondsPerSecond));
    }

    /// Parses median:sigma:smallest:largest.
    TokenDistribution distribution(const std::string &key)
    {
        std::array<double, 4> values{};
        std::istringstream words(text(key));
        std::string word;
        std::size_t read = 0;
        while (std::getline(words, word, ':') && read < values.size())
            values.at(read++) = parse(key, word, maxNumber);
        if (read != values.size() || values[2] > values[3])
            fault(ResultCode::SettingsOutOfRange, key, "expected median:sigma:smallest:largest");
        return TokenDistribution{ values[0], values[1], static_cast<std::uint32_t>(values[2]),
                                  static_cast<std::uint32_t>(values[3]) };
    }

    void fault(ResultCode code, const std::string &key, std::string message)
    {
        m_faults->push_back(Fault{ code, m_file, m_line, key, std::move(message) });
    }

    void refuseUnknownFields()
    {
        for (const auto &[key, value] : m_fields)
            fault(ResultCode::SettingsUnknownKey, key, "the field is not known");
    }

private:
    double parse(const std::string &key, const std::string &text, double maximum)
    {
        double parsed = 0.0;
        const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), parsed);
        if (failure != std::errc() || end != text.data() + text.size())
            fault(ResultCode::SettingsWrongType, key, fmt::format("'{}' is not a number", text));
        else if (!(parsed >= 0.0 && parsed <= maximum))
            fault(ResultCode::SettingsOutOfRange, key, fmt::format("expected 0 to {}", maximum));
        else
            return parsed;
        return 0.0;
    }

    std::string m_file;
    int m_line;
    FaultList *m_faults;
    std::map<std::string, std::string> m_fields;
};

void readHeader(Record &record, Trace &trace)
{
    trace.name = record.text("name");
    trace.configuration = record.text("configuration");
    trace.length = record.seconds("length");
}

void readEngine(Record &record, Trace &trace)
{
    trace.engine.prefillPerToken = Duration(record.count("prefill_us"));
    trace.engine.tokenInterval = Duration(record.count("token_us"));
    trace.engine.slowdownPermille = static_cast<std::uint32_t>(record.count("slowdown_permille"));
    trace.engine.cachedPrefixes = static_cast<std::uint32_t>(record.count("cached_prefixes"));
}

TraceArrival readSample(Record &record)
{
    TraceArrival arrival;
    arrival.className = record.text("class");
    arrival.workspace = record.text("workspace");
    const std::string service = record.text("service", false);
    arrival.isService = !service.empty();
    arrival.target = arrival.isService ? service : record.text("model");
    return arrival;
}

void readArrival(Record &record, Trace &trace)
{
    TraceArrival arrival = readSample(record);
    arrival.at = record.seconds("at");
    arrival.promptTokens = static_cast<std::uint32_t>(record.count("prompt"));
    arrival.answerTokens = static_cast<std::uint32_t>(record.count("answer"));
    arrival.prefix = record.count("prefix", 0.0);
    const std::string host = record.text("host");
    const auto found =
        std::find_if(trace.hosts.begin(), trace.hosts.end(),
                     [&host](const TraceHost &candidate) { return candidate.name == host; });
    if (found == trace.hosts.end())
        record.fault(ResultCode::ConfigurationUnknownReference, "host", "the host is not declared");
    arrival.host = static_cast<std::size_t>(found - trace.hosts.begin());
    const Duration again = record.seconds("duplicate_after", 0.0);
    if (again > Duration::zero())
        arrival.duplicateAfter = again;
    trace.arrivals.push_back(std::move(arrival));
}

void readStream(Record &record, Trace &trace)
{
    TraceStream stream;
    stream.sample = readSample(record);
    stream.from = record.seconds("from");
    stream.length = record.seconds("for");
    stream.rate = record.real("rate", maxNumber);
    stream.prompt = record.distribution("prompt");
    stream.answer = record.distribution("answer");
    stream.prefixes = record.count("prefixes", 1.0);
    stream.duplicatePermille =
        static_cast<std::uint32_t>(record.real("duplicate_permille", maxPermille, 0.0));
    stream.duplicateAfter = record.seconds("duplicate_after", 0.0);
    stream.seed = record.count("seed");
    if (stream.rate <= 0.0)
        record.fault(ResultCode::SettingsOutOfRange, "rate", "expected a number above 0");
    if (stream.prefixes == 0)
        record.fault(ResultCode::SettingsOutOfRange, "prefixes", "expected a number from 1");
    trace.streams.push_back(std::move(stream));
}

void readFault(Record &record, Trace &trace)
{
    TraceFault fault;
    fault.at = record.seconds("at");
    fault.length = record.seconds("for");
    const std::string kind = record.text("kind");
    const auto *const found = std::find(faultKindNames.begin(), faultKindNames.end(), kind);
    if (found == faultKindNames.end()) {
        record.fault(ResultCode::SettingsOutOfRange, "kind", "the kind is not known");
        return;
    }
    fault.kind = static_cast<FaultKind>(found - faultKindNames.begin());
    if (fault.kind != FaultKind::PlatformOutage)
        fault.target = record.text("target");
    if (fault.kind == FaultKind::Partition)
        fault.other = record.text("other");
    if (fault.kind == FaultKind::Straggler)
        fault.factor = record.real("factor", maxPermille);
    trace.faults.push_back(std::move(fault));
}

void readRecord(const std::string &kind, Record &record, Trace &trace)
{
    if (kind == "trace")
        readHeader(record, trace);
    else if (kind == "engine")
        readEngine(record, trace);
    else if (kind == "service")
        trace.serviceTime = Duration(record.count("run_us"));
    else if (kind == "host")
        trace.hosts.push_back(TraceHost{ record.text("name"), record.text("failure_domain") });
    else if (kind == "arrival")
        readArrival(record, trace);
    else if (kind == "generate")
        readStream(record, trace);
    else if (kind == "fault")
        readFault(record, trace);
    else
        record.fault(ResultCode::SettingsUnknownKey, kind, "the kind of record is not known");
}

} // namespace

std::variant<Trace, FaultList> parseTrace(std::string_view text, const std::string &file)
{
    FaultList faults;
    Trace trace;
    std::istringstream lines{ std::string(text) };
    std::string line;
    for (int number = 1; std::getline(lines, line); ++number) {
        std::istringstream words(line);
        std::string kind;
        if (!(words >> kind) || kind.front() == '#')
            continue;
        Record record(file, number, faults);
        record.read(words);
        readRecord(kind, record, trace);
        record.refuseUnknownFields();
    }
    if (trace.hosts.empty() || trace.length == Duration::zero())
        faults.push_back(Fault{ ResultCode::SettingsMissingKey, file, 0, "host",
                                "a trace needs a length and at least one host" });
    if (!faults.empty())
        return faults;
    return trace;
}

} // namespace currantreel
