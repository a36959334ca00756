#include "bamboorack/operator/document_lines.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Handler.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

namespace bamboorack::operators {
namespace {

/// As deep as the readers of the documents go.
constexpr std::size_t kMaxDepth = 16;

/// How far the parser, which reads one character after the other, has come.
class ParserPosition {
 public:
  explicit ParserPosition(const std::string& document)
      : text(document), stream(document) {}

  std::istream& Stream() { return this->stream; }

  std::size_t Line() {
    const std::istream::pos_type at = this->stream.tellg();
    const std::size_t end =
        at < 0 ? this->text.size() : static_cast<std::size_t>(at);
    const auto from = this->text.begin();
    this->line += static_cast<std::size_t>(
        std::count(from + static_cast<std::ptrdiff_t>(this->counted),
                   from + static_cast<std::ptrdiff_t>(end), '\n'));
    this->counted = end;
    return this->line;
  }

 private:
  const std::string& text;
  std::istringstream stream;
  std::size_t line = 1;
  std::size_t counted = 0;
};

/// Records the line of each field and list entry while a parser reads.
class LineRecorder : public Poco::JSON::Handler {
 public:
  LineRecorder(ParserPosition& parser,
               std::map<std::string, std::size_t>& line_of_path,
               std::vector<Finding>& duplicates)
      : position(parser), lines(line_of_path), faults(duplicates) {}

  void reset() override { this->open.clear(); }
  void startObject() override { this->Open(false); }
  void endObject() override { this->Close(); }
  void startArray() override { this->Open(true); }
  void endArray() override { this->Close(); }

  void key(const std::string& name) override {
    Container& container = this->open.back();
    container.member =
        container.path.empty() ? name : container.path + "." + name;
    const std::size_t line = this->position.Line();
    this->lines.emplace(container.member, line);
    // Two paths can be equal without a duplicate, since a name may hold a dot.
    if (container.names.insert(name).second) return;
    this->faults.push_back({Severity::kError, "given_twice", container.member,
                            "", "the field is given twice", line});
  }

  void null() override { this->PathOfNext(); }
  void value(int /*number*/) override { this->PathOfNext(); }
  void value(unsigned /*number*/) override { this->PathOfNext(); }
#if defined(POCO_HAVE_INT64)
  void value(Poco::Int64 /*number*/) override { this->PathOfNext(); }
  void value(Poco::UInt64 /*number*/) override { this->PathOfNext(); }
#endif
  void value(const std::string& /*text*/) override { this->PathOfNext(); }
  void value(double /*number*/) override { this->PathOfNext(); }
  void value(bool /*flag*/) override { this->PathOfNext(); }

 private:
  /// An object or list that has not ended.
  struct Container {
    std::string path;
    bool is_list = false;
    std::size_t entries = 0;
    /// The path of the member that follows.
    std::string member;
    std::set<std::string> names;
  };

  std::string PathOfNext() {
    if (this->open.empty()) return "";
    Container& container = this->open.back();
    if (!container.is_list) return container.member;
    std::string path =
        container.path + "[" + std::to_string(container.entries++) + "]";
    this->lines.emplace(path, this->position.Line());
    return path;
  }

  void Open(bool is_list) {
    std::string path = this->PathOfNext();
    this->open.push_back({std::move(path), is_list, 0, "", {}});
  }

  void Close() { this->open.pop_back(); }

  ParserPosition& position;
  std::map<std::string, std::size_t>& lines;
  std::vector<Finding>& faults;
  std::vector<Container> open;
};

}  // namespace

DocumentLines::DocumentLines(const std::string& text) {
  ParserPosition position(text);
  try {
    Poco::JSON::Parser parser(
        new LineRecorder(position, this->lines, this->faults));
    parser.setDepth(kMaxDepth);
    parser.parse(position.Stream());
  } catch (const Poco::Exception& error) {
    this->is_json = false;
    this->faults.push_back({Severity::kError, "syntax", "", "",
                            "not a JSON document: " + error.message(),
                            position.Line()});
  }
}

std::optional<std::size_t> DocumentLines::LineOf(std::string path) const {
  while (!path.empty()) {
    const auto found = this->lines.find(path);
    if (found != this->lines.end()) return found->second;
    const std::size_t cut = path.find_last_of(".[");
    path.resize(cut == std::string::npos ? 0 : cut);
  }
  return std::nullopt;
}

}  // namespace bamboorack::operators
