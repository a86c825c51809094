Feature: A request is served from one end to the other

  Scenario Outline: Calls through real processes
    Given a deployment with two regions
    When a caller in <region> sends <method> <path> with <body>
    Then the answer is whole and contains <text>

    Examples:
      | region | method | path                                | body                                                | text        |
      | west   | POST   | /v1/completions                     | {"model":"llm","prompt":"a","max_tokens":4}         | "choices"   |
      | west   | POST   | /v1/chat/completions                | {"model":"llm","stream":true,"max_tokens":4}        | data: [DONE] |
      | east   | POST   | /v1/chat/completions                | {"model":"llm","stream":true,"max_tokens":4}        | data: [DONE] |
      | east   | GET    | /services/ledger/owners/9?title=Lan | none                                                | /owners/9   |

  Scenario Outline: A body with a content coding goes through as it is
    Given a deployment with two regions
    When a caller in <region> sends <method> /services/ledger/issues with coded {"title":"Lantern 9"}
    Then the answer is whole and contains Lantern 9

    Examples:
      | region | method |
      | west   | POST   |
      | east   | PUT    |
