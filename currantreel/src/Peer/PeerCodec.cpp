#include "PeerCodec.h"

#include "FramePrefix.h"
#include "PeerDecoder.h"
#include "PeerEncoder.h"
#include <PeerMessage_generated.h>
#include <algorithm>

namespace currantreel {

namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using detail::EncodedBody;

constexpr std::size_t usualFrameBytes = 256;

template <typename T>
EncodedBody bodyOf(flatbuffers::Offset<T> table)
{
    return EncodedBody{ static_cast<std::uint8_t>(wire::BodyTraits<T>::enum_value), table.Union() };
}

EncodedBody encode(Builder &builder, const Greeting &greeting)
{
    const auto nonce = builder.CreateVector(greeting.nonce.data(), greeting.nonce.size());
    return bodyOf(wire::CreateGreeting(builder, greeting.protocol, greeting.host.value,
                                       greeting.incarnation.value, nonce));
}

EncodedBody encode(Builder &builder, const Proof &proof)
{
    const auto hash = builder.CreateVector(proof.hash.data(), proof.hash.size());
    return bodyOf(wire::CreateProof(builder, hash));
}

EncodedBody encode(Builder &builder, const Ping & /*ping*/)
{
    return bodyOf(wire::CreatePing(builder));
}

EncodedBody encode(Builder &builder, const Pong & /*pong*/)
{
    return bodyOf(wire::CreatePong(builder));
}

EncodedBody encode(Builder &builder, const PeerMessage &message)
{
    return detail::encodeBody(builder, message);
}

Error malformed(const char *detail)
{
    return Error{ ResultCode::PeerFrameMalformed, detail };
}

/// Copies @p bytes into @p array. False unless the sizes agree.
template <typename Array>
bool copyExactly(const flatbuffers::Vector<std::uint8_t> *bytes, Array &array)
{
    if (!bytes || bytes->size() != array.size())
        return false;
    std::copy(bytes->begin(), bytes->end(), array.begin());
    return true;
}

Result<PeerFrame> decodeBody(const wire::Frame &table, PeerFrame frame)
{
    if (table.body_type() == wire::Body::Ping) {
        frame.body = Ping();
        return frame;
    }
    if (table.body_type() == wire::Body::Pong) {
        frame.body = Pong();
        return frame;
    }
    if (const wire::Greeting *greeting = table.body_as_Greeting()) {
        Greeting body{ greeting->protocol(),
                       HostId{ greeting->host() },
                       Incarnation{ greeting->incarnation() },
                       {} };
        if (!copyExactly(greeting->nonce(), body.nonce))
            return malformed("nonce");
        frame.body = body;
        return frame;
    }
    if (const wire::Proof *proof = table.body_as_Proof()) {
        Proof body;
        if (!copyExactly(proof->hash(), body.hash))
            return malformed("proof");
        frame.body = body;
        return frame;
    }
    auto message = detail::decodeMessage(table);
    if (!message)
        return malformed("body");
    frame.body = std::move(*message);
    return frame;
}

} // namespace

std::vector<std::uint8_t> encodeFrame(const PeerFrame &frame)
{
    Builder builder(usualFrameBytes);
    const EncodedBody body =
        std::visit([&builder](const auto &one) { return encode(builder, one); }, frame.body);
    const auto table = wire::CreateFrame(builder, frame.incarnation.value, frame.sequence,
                                         static_cast<wire::Body>(body.type), body.table);
    builder.Finish(table);
    // FlatBuffers' own size prefix would shift the alignment of what follows it.
    const std::size_t length = builder.GetSize();
    std::vector<std::uint8_t> bytes(framePrefixBytes + length);
    for (std::size_t i = 0; i < framePrefixBytes; ++i)
        bytes[i] = static_cast<std::uint8_t>(length >> (8U * i));
    std::copy_n(builder.GetBufferPointer(), length, bytes.begin() + framePrefixBytes);
    return bytes;
}

Result<PeerFrame> decodeFrame(std::span<const std::uint8_t> bytes)
{
    if (bytes.empty() || bytes.size() > maxFrameBytes)
        return malformed("size");
    // FlatBuffers reads aligned values, and the bytes of a stream may lie anywhere.
    const std::vector<std::uint8_t> aligned(bytes.begin(), bytes.end());
    flatbuffers::Verifier verifier(aligned.data(), aligned.size());
    if (!wire::VerifyFrameBuffer(verifier))
        return malformed("not a frame");
    const wire::Frame &table = *wire::GetFrame(aligned.data());
    if (!table.body())
        return malformed("no body");
    PeerFrame frame;
    frame.incarnation = Incarnation{ table.incarnation() };
    frame.sequence = table.sequence();
    return decodeBody(table, std::move(frame));
}

} // namespace currantreel
