//! An unmodified client of the OpenAI API against a local system.

use async_openai::{
    Client,
    config::OpenAIConfig,
    error::OpenAIError,
    types::chat::{
        ChatCompletionRequestUserMessageArgs, ChatCompletionStreamOptions,
        CreateChatCompletionRequest, CreateChatCompletionRequestArgs,
    },
};
use futures_util::StreamExt;
use mintmoor::local::{Fleet, LocalSystem, caller_key};

async fn start() -> LocalSystem {
    LocalSystem::start(Fleet::standard(11)).await.unwrap()
}

fn client(system: &LocalSystem, key: &str) -> Client<OpenAIConfig> {
    let base = format!("{}/v1", system.urls[0].0);
    Client::with_config(OpenAIConfig::new().with_api_base(base).with_api_key(key))
}

fn request(model: &str) -> CreateChatCompletionRequest {
    let message = ChatCompletionRequestUserMessageArgs::default()
        .content("why has my recharge not landed")
        .build()
        .unwrap();
    CreateChatCompletionRequestArgs::default()
        .model(model)
        .max_tokens(20u32)
        .messages([message.into()])
        .build()
        .unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_answer_has_text_and_usage() {
    let system = start().await;
    let client = client(&system, &caller_key("ricarica/tills"));

    let answer = client.chat().create(request("topup")).await.unwrap();

    let text = answer.choices[0].message.content.clone().unwrap();
    let usage = answer.usage.unwrap();
    assert_eq!(text.split_whitespace().count(), usage.completion_tokens as usize);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_streamed_answer_ends_with_usage() {
    let system = start().await;
    let client = client(&system, &caller_key("ricarica/tills"));
    let mut req = request("swift");
    req.stream_options =
        Some(ChatCompletionStreamOptions { include_usage: Some(true), include_obfuscation: None });

    let mut stream = client.chat().create_stream(req).await.unwrap();
    let mut text = String::new();
    let mut usage = None;
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.unwrap();
        if let Some(choice) = chunk.choices.first() {
            text.push_str(choice.delta.content.as_deref().unwrap_or_default());
        }
        usage = chunk.usage.or(usage);
    }

    let usage = usage.expect("the last chunk has the usage");
    assert_eq!(text.split_whitespace().count(), usage.completion_tokens as usize);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_model_list_shows_only_what_the_organisation_may_use() {
    let system = start().await;

    let tills = client(&system, &caller_key("ricarica/tills")).models().list().await.unwrap();
    let kiosks = client(&system, &caller_key("ricarica/kiosks")).models().list().await.unwrap();

    let names = |list: async_openai::types::models::ListModelResponse| -> Vec<String> {
        list.data.into_iter().map(|model| model.id).collect()
    };
    assert_eq!(names(tills), ["deep", "deep@1", "swift", "swift@1", "swift@2", "topup"]);
    assert_eq!(names(kiosks), ["swift", "swift@1", "swift@2", "topup"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_are_the_clients_own_typed_errors() {
    let system = start().await;
    let good = caller_key("ricarica/kiosks");
    let cases = [
        ("wrong-key", "swift", "invalid_api_key"),
        (&*good, "nothing", "model_not_found"),
        (&*good, "deep", "not_allowed"),
        (&*good, "majlis/counsel", "model_not_found"),
    ];

    for (key, model, code) in cases {
        let error = client(&system, key).chat().create(request(model)).await.unwrap_err();
        let OpenAIError::ApiError(error) = error else { panic!("{model}: {error}") };
        assert!(
            error.to_string().contains(code) || format!("{error:?}").contains(code),
            "{error:?}"
        );
    }
}
